# Prints what calls met at the entries, for each span of time and route, from the
# log lines of a play or a test. A line may have other words before "event=".
#
# usage: awk [-v span=SECONDS] -f bench/lost-calls.awk LOG
#
# Columns: calls; served, refused, failed: calls ended with 2xx, 429 or 503, and
# otherwise; wait50, wait90: milliseconds from the arrival at the entry to the
# first send; took50, took90: milliseconds to the end of served calls; sends a
# call; the most frequent reasons of refusals and of failed sends.

function field(name,    at, rest)
{
	at = index(" " $0, " " name "=")
	if (!at)
		return ""
	rest = substr($0, at + length(name) + 1)
	sub(/ .*/, "", rest)
	return rest
}

# Return the time of a line in seconds: the first word if it is a number, else the
# time of day.
function seconds(    clock)
{
	if ($1 ~ /^-?[0-9]+\.[0-9]+$/)
		return $1
	if (!match($0, /T[0-9][0-9]:[0-9][0-9]:[0-9][0-9]\.[0-9]+/))
		return 0
	split(substr($0, RSTART + 1, RLENGTH - 1), clock, ":")
	return clock[1] * 3600 + clock[2] * 60 + clock[3]
}

function sort_numbers(list, n,    i, j, t)
{
	for (i = 2; i <= n; i++)
		for (j = i; j > 1 && list[j - 1] > list[j]; j--) {
			t = list[j]
			list[j] = list[j - 1]
			list[j - 1] = t
		}
}

# Return the value at a quantile of the samples of a row.
function quantile(what, row, q,    list, i, n)
{
	n = samples[what, row]
	if (!n)
		return "-"
	for (i = 1; i <= n; i++)
		list[i] = sample[what, row, i]
	sort_numbers(list, n)
	i = int(q * n) + 1
	return list[i > n ? n : i]
}

function add_sample(what, row, value)
{
	sample[what, row, ++samples[what, row]] = value + 0
}

# Return the two most frequent reasons of a row.
function reasons(row,    pair, key, best, second)
{
	for (key in reason) {
		split(key, pair, SUBSEP)
		if (pair[1] != row)
			continue
		if (!best || reason[key] > reason[row, best]) {
			second = best
			best = pair[2]
		} else if (!second || reason[key] > reason[row, second])
			second = pair[2]
	}
	if (!best)
		return "-"
	return best "=" reason[row, best] \
		(second ? " " second "=" reason[row, second] : "")
}

BEGIN {
	if (!span)
		span = 2
}

/ event=call-(sent|ended) | event=send-failed / {
	id = field("vm") " " field("call")
	start = int(seconds() / span) * span
	row = sprintf("%10.1f %s", start, field("route"))
}

/ event=call-sent / {
	sends[row]++
	if (field("attempt") == 1 && field("hedge") == 0)
		add_sample("wait", row, field("waited_ms"))
}

/ event=send-failed / && !/result=cancel/ {
	reason[row, "send:" field("result")]++
}

/ event=call-ended / {
	calls[row]++
	status = field("status")
	if (status >= 200 && status < 300) {
		served[row]++
		add_sample("took", row, field("took_ms"))
	} else {
		if (status == 429 || status == 503)
			refused[row]++
		else
			failed[row]++
		reason[row, field("reason")]++
	}
}

END {
	format = "%10s %-12s %6s %6s %7s %6s %6s %6s %6s %6s %6s  %s\n"
	printf format, "from", "route", "calls", "served", "refused", "failed",
		"wait50", "wait90", "took50", "took90", "sends", "reasons"
	for (row in calls) {
		split(row, part, " ")
		printf format, part[1], part[2], calls[row], served[row] + 0,
			refused[row] + 0, failed[row] + 0,
			quantile("wait", row, 0.5), quantile("wait", row, 0.9),
			quantile("took", row, 0.5), quantile("took", row, 0.9),
			sprintf("%.2f", sends[row] / calls[row]),
			reasons(row) | "sort -k1,1n -k2,2"
	}
}
