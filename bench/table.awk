# Result lines to a table: medians over the seeds, spread of p99.

function median(list, n,    i, j, t)
{
	for (i = 2; i <= n; i++)
		for (j = i; j > 1 && list[j - 1] > list[j]; j--) {
			t = list[j]
			list[j] = list[j - 1]
			list[j - 1] = t
		}
	return n % 2 ? list[(n + 1) / 2] : (list[n / 2] + list[n / 2 + 1]) / 2
}

# The median of a field over the seeds of a row.
function middle(row, field,    i, list)
{
	for (i = 1; i <= runs[row]; i++)
		list[i] = value[row, i, field] + 0
	return median(list, runs[row])
}

function spread(row,    i, low, high, v)
{
	low = high = value[row, 1, "p99"] / 1000
	for (i = 2; i <= runs[row]; i++) {
		v = value[row, i, "p99"] / 1000
		low = v < low ? v : low
		high = v > high ? v : high
	}
	return sprintf("%.0f-%.0f", low, high)
}

{
	delete f
	for (i = 1; i <= NF; i++) {
		split($i, pair, "=")
		f[pair[1]] = pair[2]
	}
	row = f["scenario"] " " f["policy"]
	if (!(row in runs)) {
		order[++rows] = row
		if (!(f["scenario"] in seen))
			scenarios[++scenario_count] = f["scenario"]
		seen[f["scenario"]] = 1
	}
	runs[row]++
	for (name in f)
		value[row, runs[row], name] = f[name]
}

END {
	printf "%-13s %-6s %7s %7s %7s %11s %8s %8s %7s %7s %8s %6s %6s\n",
		"scenario", "policy", "p50 ms", "p99", "p99.9", "p99 spread",
		"offered", "goodput", "refused", "failed", "probes/c", "B/call", "idle %"
	for (s = 1; s <= scenario_count; s++) {
		for (i = 1; i <= rows; i++) {
			row = order[i]
			split(row, part, " ")
			if (part[1] != scenarios[s])
				continue
			by[part[2]] = row
			last = row
		}
		n = split("B0 B1 B2 B3 B4 B4s", names, " ")
		for (i = 1; i <= n; i++)
			if (names[i] in by)
				print_row(by[names[i]], names[i])
		printf "%-13s %-6s %7.1f %7.1f %7.1f   (service times alone" \
			" %.1f %.1f %.1f)\n", scenarios[s], "ideal",
			middle(last, "ideal_p50") / 1000,
			middle(last, "ideal_p99") / 1000,
			middle(last, "ideal_p999") / 1000,
			middle(last, "service_p50") / 1000,
			middle(last, "service_p99") / 1000,
			middle(last, "service_p999") / 1000
		delete by
	}
}

function print_row(row, policy,    calls, failed)
{
	calls = middle(row, "sent")
	failed = middle(row, "error") + middle(row, "cut")
	failed += middle(row, "connect") + middle(row, "timeout")
	failed += middle(row, "wrong")
	printf "%-13s %-6s %7.1f %7.1f %7.1f %11s %8d %8d %7d %7d %8.3f %6.1f %6.2f\n",
		scenarios[s], policy, middle(row, "p50") / 1000,
		middle(row, "p99") / 1000, middle(row, "p999") / 1000,
		spread(row), middle(row, "offered"), middle(row, "goodput"),
		middle(row, "refused"),
		failed,
		middle(row, "probes") / calls,
		middle(row, "control_bytes") / calls,
		middle(row, "idle_percent")
}
