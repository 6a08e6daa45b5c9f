# Functions for scripted tests of hemlockctl and of configuration followers.
# Source lib.sh and keeper-lib.sh first.

# ctl COMMAND...: run hemlockctl with all keepers. Print its output, without the
# directory and network of this run, and its exit code unless that is 0. The
# status of the function is always 0, as the expected output has the exit code.
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

# node_address N: address on which the follower node-N listens.
node_address () {
	echo "$NET.$((100 + $1)):7080"
}

# nodes_members N...: set the live entries of all followers.
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

# node_ready N: whether node-N may serve calls.
node_ready () {
	grep -q '^ready' "$DIR/node-$1.log"
}

# node_has N REVISION: whether the revision came into force at node-N.
node_has () {
	grep -q "^$2 " "$DIR/node-$1.log"
}

# nodes_have REVISION N...: whether the revision came into force at all nodes.
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
