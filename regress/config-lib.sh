# Functions for scripted runs of hemlockctl and of followers; source lib.sh
# and keeper-lib.sh first.

# ctl COMMAND...: run hemlockctl with all keepers; prints what it says, with
# the folder and network of this run taken out, and its exit code unless 0.
# Its own status is always 0: the expected output has the code.
ctl () {
	command=$1
	shift
	"$BUILD/hemlockctl" "$command" --keepers \
		"${HEMLOCKCTL_KEEPERS:-$(echo $ALL | tr ' ' ',')}" \
		"$@" >"$DIR/ctl.out" 2>&1
	rc=$?
	sed "s#$DIR/##; s#$NET#NET#g" "$DIR/ctl.out"
	[ $rc -eq 0 ] || echo "exit $rc"
	return 0
}

# node_address N: where the follower node-N listens.
node_address () {
	echo "$NET.$((100 + $1)):7080"
}

# nodes_members N...: the live entries that followers see.
nodes_members () {
	for i in "$@"
	do
		echo "node-$i $(node_address "$i")"
	done >"$DIR/members.new"
	mv "$DIR/members.new" "$DIR/members"
}

# node_start N [KEEPERS]: start the follower node-N.
node_start () {
	spawn "node-$1" "$BUILD/regress/follow-node" --name "node-$1" \
		--address "$(node_address "$1")" --members "$DIR/members" \
		--keepers "${2:-$(echo $ALL | tr ' ' ',')}" \
		--fanout "${FANOUT:-2}" --poll-ms "${POLL_MS:-100}" \
		--timeout-ms 300
}

# node_ready N: true once node-N may serve.
node_ready () {
	grep -q '^ready' "$DIR/node-$1.log"
}

# node_has N REVISION: true once the revision came into force at node-N.
node_has () {
	grep -q "^$2 " "$DIR/node-$1.log"
}

# nodes_have REVISION N...: true once all have it.
nodes_have () {
	want=$1
	shift
	for i in "$@"
	do
		node_has "$i" "$want" || return 1
	done
}

# declare_profile NAME QUEUE: write a declaration of one profile.
declare_profile () {
	printf '[[profile]]\nname = "%s"\nqueue_max = %s\n' "$1" "$2" \
		>"$DIR/$1.toml"
}
