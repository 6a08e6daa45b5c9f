# Functions for scripted runs of keepers; source lib.sh first.

CLIENT=$BUILD/regress/keeper-client

# keeper_address N: print the address at which keeper-N listens.
keeper_address () {
	echo "$NET.$1:7090"
}

# keeper_settings N COUNT: write the settings of keeper-N of COUNT; it reaches
# the others at the addresses that keeper_reach prints.
keeper_settings () {
	names=
	addresses=
	for peer in $(seq 1 "$2")
	do
		names="$names\"keeper-$peer\", "
		addresses="$addresses\"$(keeper_reach "$1" "$peer")\", "
	done
	mkdir -p "$DIR/data-$1"
	cat >"$DIR/keeper-$1.toml" <<EOF
[node]
name = "keeper-$1"
zone = "zone-$1"
address = "$NET.$1"
log_level = "info"
[keeper]
data = "$DIR/data-$1"
names = [$names]
addresses = [$addresses]
heartbeat_ms = ${HEARTBEAT_MS:-50}
election_ms = ${ELECTION_MS:-500}
rpc_timeout_ms = 300
snapshot_entries = ${SNAPSHOT_ENTRIES:-64}
EOF
}

# keeper_reach FROM TO: print the address at which keeper FROM reaches TO.
keeper_reach () {
	keeper_address "$2"
}

# keeper_start N: start keeper-N with the settings written before. $KEEPER names
# a program in place of hemlock-keeper. For power-keeper, the disk is full while
# the file $DIR/full-N exists.
keeper_start () {
	spawn "keeper-$1" env POWER_FULL="$DIR/full-$1" \
		"${KEEPER:-$BUILD/hemlock-keeper}" --settings \
		"$DIR/keeper-$1.toml"
}

# power_cut N...: kill all these keepers, then wait for each to exit.
power_cut () {
	for n in "$@"
	do
		signal KILL "$(pid "keeper-$n")"
	done
	for n in "$@"
	do
		wait "$(pid "keeper-$n")" 2>/dev/null
		forget "keeper-$n"
	done
}

# keepers_start COUNT: write the settings, start all keepers, wait for a leader.
keepers_start () {
	ALL=
	for i in $(seq 1 "$1")
	do
		keeper_settings "$i" "$1"
		ALL="$ALL $(keeper_address "$i")"
	done
	for i in $(seq 1 "$1")
	do
		keeper_start "$i"
	done
	keeper_leader >/dev/null || fail "no leader"
}

# keeper_leader [ADDRESS...]: print the number of the leader that a quorum
# confirms, of all keepers by default.
keeper_leader () {
	$CLIENT leader ${*:-$ALL} | sed 's/keeper-//'
}

# put ID NAME BASE: submit a change of one profile to the leader.
put () {
	$CLIENT -t 30 put "$1" "$2" "$3" $ALL
}

# revision N: print the newest revision that keeper-N has.
revision () {
	$CLIENT fetch "$(keeper_address "$1")" | sed 's/.*revision=//'
}

# has_revision N REVISION: true once keeper-N has the revision.
has_revision () {
	[ "$(revision "$1")" = "$2" ]
}

# state N KEY: print one value of keeper-N's state, such as voters.
state () {
	$CLIENT state "$(keeper_address "$1")" | tr ' ' '\n' |
		sed -n "s/^$2=//p"
}

# others N: print the numbers of the other two of three keepers.
others () {
	echo 1 2 3 | tr ' ' '\n' | grep -v "$1" | tr '\n' ' '
}

# leads N...: true once a quorum confirms one of these keepers as leader.
leads () {
	for n in "$@"
	do
		$CLIENT confirm "$(keeper_address "$n")" | grep -q confirmed=1 &&
			return 0
	done
	return 1
}

# keepers_behind_proxy: let each of three keepers reach each other one through a
# separate link of the fault proxy, named FROM-TO.
keepers_behind_proxy () {
	keeper_reach () {
		echo "$NET.1$1$2:7090"
	}
	spawn_proxy $(for a in 1 2 3
	do
		for b in $(others $a)
		do
			echo "$a-$b=$NET.1$a$b:7090>$(keeper_address $b)/tcp"
		done
	done)
}
