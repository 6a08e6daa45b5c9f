# Formats the result lines of compare-policy.sh as a table: medians over the
# seeds, and the range of p99.

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

# Return the median of a field over the seeds of a row.
function seed_median(row, field,    i, list)
{
	for (i = 1; i <= runs[row]; i++)
		list[i] = value[row, i, field] + 0
	return median(list, runs[row])
}

# Return the range of p99 over the seeds of a row, milliseconds.
function p99_range(row,    i, low, high, v)
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
			row_of[part[2]] = row
			last = row
		}
		n = split("B0 B1 B2 B3 B4 B4s", names, " ")
		for (i = 1; i <= n; i++)
			if (names[i] in row_of)
				print_row(row_of[names[i]], names[i])
		printf "%-13s %-6s %7.1f %7.1f %7.1f   (service times alone" \
			" %.1f %.1f %.1f)\n", scenarios[s], "ideal",
			seed_median(last, "ideal_p50") / 1000,
			seed_median(last, "ideal_p99") / 1000,
			seed_median(last, "ideal_p999") / 1000,
			seed_median(last, "service_p50") / 1000,
			seed_median(last, "service_p99") / 1000,
			seed_median(last, "service_p999") / 1000
		delete row_of
	}
}

# Print a row. "failed" is the number of calls that failed without a refusal.
function print_row(row, policy,    calls, failed)
{
	calls = seed_median(row, "sent")
	failed = seed_median(row, "error") + seed_median(row, "cut")
	failed += seed_median(row, "connect") + seed_median(row, "timeout")
	failed += seed_median(row, "wrong")
	printf "%-13s %-6s %7.1f %7.1f %7.1f %11s %8d %8d %7d %7d %8.3f %6.1f %6.2f\n",
		scenarios[s], policy, seed_median(row, "p50") / 1000,
		seed_median(row, "p99") / 1000, seed_median(row, "p999") / 1000,
		p99_range(row), seed_median(row, "offered"), seed_median(row, "goodput"),
		seed_median(row, "refused"),
		failed,
		seed_median(row, "probes") / calls,
		seed_median(row, "control_bytes") / calls,
		seed_median(row, "idle_percent")
}
