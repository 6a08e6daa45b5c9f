# Functions for scripted tests of faults between zones and regions; source
# lib.sh first. Peer N advertises $NET.N:7083, where the UDP proxy listens
# instead of the peer, which is bound to $NET.$((100 + N)):7083.

advertised () {
	echo "$NET.$1:7083"
}

bound () {
	echo "$NET.$((100 + $1)):7083"
}

# spawn_udp_proxy SEED NAME=N...: starts the proxy between the peers; its faults
# are set by tell_udp.
spawn_udp_proxy () {
	seed=$1
	shift
	for peer in "$@"
	do
		set -- "$@" --peer \
			"${peer%=*}=$(advertised "${peer#*=}")>$(bound "${peer#*=}")"
		shift
	done
	spawn udp-proxy "$BUILD/regress/udp-proxy" --control "$NET.99:9998" \
		--seed "$seed" "$@"
	ready udp-proxy
}

# tell_udp COMMAND LINK [VALUE]: sets a fault of the links that match LINK, a
# pattern of the form FROM-TO.
tell_udp () {
	"$BUILD/regress/fault-proxy" --tell "$NET.99:9998" "$@" ||
		fail "$*"
}

# between COMMAND A B: sets a fault in both directions between the peers whose
# names match A and those whose names match B.
between () {
	tell_udp "$1" "$2-$3"
	tell_udp "$1" "$3-$2"
}

# seeds N...: prints the line of the settings that names these peers as seeds.
seeds () {
	list=
	for n in "$@"
	do
		list="$list${list:+, }\"$(advertised "$n")\""
	done
	echo "seeds = [$list]"
}

# start_entry N REGION ZONE [LINES]: starts entry-N behind the UDP proxy. LINES
# are further settings of [entry], and tables after it.
start_entry () {
	cat >"$DIR/entry-$1.toml" <<-SETTINGS
	[node]
	name = "entry-$1"
	region = "$2"
	zone = "$3"
	address = "$NET.$1"
	log_level = "info"
	[entry]
	interval_ms = $INTERVAL_MS
	lease_ms = $LEASE_MS
	peer_bind = "$(bound "$1")"
	${4:-}
	SETTINGS
	spawn "entry-$1" "$BUILD/hemlock-entry" \
		--settings "$DIR/entry-$1.toml"
}

# controls N...: prints the control addresses of these entries.
controls () {
	for n in "$@"
	do
		printf '%s' "$NET.$n:7081"
		shift
		[ $# -eq 0 ] || printf ,
	done
}

# metric N NAME: prints the value of a metric of entry-N.
metric () {
	call -t 1000 --body "http://$NET.$1:7081/metrics" |
		awk -v name="$2" '$1 == name { print $2 }'
}

# see LIVE N...: succeeds if each of these entries has that number of live
# members.
see () {
	live=$1
	shift
	for n in "$@"
	do
		[ "$(metric "$n" hemlock_members_live)" = "$live" ] || return 1
	done
}

# all_owned NAME: succeeds if every copy of a simulated target has an owner.
all_owned () {
	target_status "$1" >"$DIR/owned.$1" || return 1
	grep -q '^copy=' "$DIR/owned.$1" && ! grep -q 'owner=- ' "$DIR/owned.$1"
}
