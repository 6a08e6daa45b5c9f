# Print, from the log of a play of the users' bench (--log all), how many calls were
# served at VMs that lost the paths to all copies of two services or more, and at VMs
# that lost none. FROM and TO are the begin and the end of a cut in seconds; calls that
# end up to one second later count too. Calls handed over by a sibling, and those for
# which there is no route (404), are left out.
#
# usage: awk -v FROM=4 -v TO=13 -f bench/cut-off-calls.awk LOG...

# value(NAME): value of the field NAME of the current line.
function value(name,	at, rest) {
	at = index($0, " " name "=")
	if (!at)
		return ""
	rest = substr($0, at + length(name) + 2)
	sub(/ .*/, "", rest)
	return rest
}

$1 + 0 < FROM - 1 || $1 + 0 >= TO + 1 { next }

/ event=service-unreachable / {
	if (!(($2, value("service")) in lost))
		services[$2]++
	lost[$2, value("service")] = 1
}

/ event=call-ended / {
	status = value("status")
	if ($1 + 0 < FROM || value("from") != "" || status == "" || status == 404)
		next
	calls[$2]++
	served[$2] += status ~ /^2/
}

END {
	for (vm in calls) {
		kind = services[vm] >= 2 ? "cut off" : services[vm] ? "in part" : "no loss"
		vms[kind]++
		total[kind] += calls[vm]
		ok[kind] += served[vm]
	}
	for (kind in vms)
		printf "%-8s %4d VMs, %6d of %6d calls served\n", kind,
			vms[kind], ok[kind], total[kind]
}
