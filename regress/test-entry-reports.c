#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Scripted runs of the choice of a copy by load reports. A line is "TIME
 * COMMAND ... = RESULT", the time in milliseconds; the result must be equal.
 * Each group of cases names the load under which a wrong choice makes calls
 * late. This entry is in zone "here"; the normal service time is 100 ms.
 */

#define CALLS_MAX 32
#define SERVICE_TIME (100 * USEC_PER_MS)
#define BUDGET_WINDOW (10 * USEC_PER_SEC)

typedef struct {
	char name[16];
	entry_call_t call;
} script_call_t;

typedef struct {
	entry_service_t svc;
	config_profile_t profile;
	script_call_t calls[CALLS_MAX];
	unsigned call_count;
	usec_t now;
} script_t;

static const struct {
	const char *name;
	const char *text;
} cases[] = {
	/* Copies whose speed changes five-fold several times per second. */
	{ "noisy-neighbours-quick-copy-wins",
	  "0 copy a 2\n0 copy b 2\n"
	  "0 report a 1 0 500\n0 report b 1 0 100\n"
	  "1 wait x objective=250 = ready\n1 arrive x = send b\n" },
	{ "noisy-neighbours-all-slow-waits",
	  "0 copy a 2\n0 copy b 2\n"
	  "0 report a 0 0 500\n0 report b 0 0 500\n"
	  "1 wait x objective=250 = again\n"
	  "150 report a 0 0 100\n151 wait x = ready\n" },
	{ "noisy-neighbours-old-report-is-ignored",
	  "0 copy a 2\n0 report a 0 0 100\n"
	  "40 wait x objective=250 = ready\n"
	  "100 wait y objective=250 = again\n" },
	{ "noisy-neighbours-deadline-ends-the-wait",
	  "0 copy a 2\n0 report a 0 0 500\n"
	  "0 wait x objective=250 deadline=1200 = again\n"
	  "690 report a 0 0 500\n700 wait x = expired\n" },

	/* Full copies: a call queued there may begin while the copy is slow. */
	{ "full-copies-get-no-calls",
	  "0 copy a 2\n0 copy b 2\n"
	  "0 report a 2 0 100\n0 report b 2 3 100\n"
	  "1 wait x objective=250 = again\n"
	  "30 report a 1 0 100\n31 wait x = ready\n31 arrive x = send a\n" },
	{ "full-copies-own-calls-count-at-once",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 100\n"
	  "0 arrive x objective=250 = send a\n"
	  "0 arrive y objective=250 = send a\n"
	  "0 arrive z objective=250 = send b\n" },
	{ "overload-call-past-deadline-is-refused-at-once",
	  "0 copy a 2\n0 report a 2 9 500\n"
	  "0 wait x objective=250 deadline=400 = expired\n"
	  "0 arrive x = refuse queue\n" },
	{ "overload-late-calls-take-quick-copies-only",
	  "0 copy a 2\n0 report a 0 0 500\n"
	  "0 wait x objective=50 deadline=2000 = again\n"
	  "150 report a 0 0 110\n150 wait x = late-ready\n" },

	/* Copies whose calls slow down when the last slot is used. */
	{ "contention-less-loaded-copy-wins",
	  "0 contention 1.7\n0 copy a 3\n0 copy b 3\n"
	  "0 report a 2 0 100\n0 report b 1 0 130\n"
	  "1 arrive x objective=250 = send b\n" },
	{ "contention-other-copies-are-probed-before-the-last-slot",
	  "0 contention 1.4\n0 copy a 3\n0 report a 2 0 130\n"
	  "1 wait x objective=250 quick-only = again\n1 wait x = ready\n" },
	{ "contention-none-last-slot-is-like-others",
	  "0 contention 1\n0 copy a 3\n0 report a 2 0 100\n"
	  "1 wait x objective=250 quick-only = ready\n" },
	{ "contention-last-slot-stays-free-until-measured",
	  "0 copy a 3\n0 copy b 2\n0 report a 2 0 100\n"
	  "1 wait x objective=250 = again\n1 report b 1 0 100\n"
	  "1 wait x = ready\n" },
	{ "backlog-late-calls-leave-the-last-slot-free",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 wait y objective=250 deadline=2000 = again\n"
	  "300 report a 1 0 100\n300 wait x objective=250 = ready\n"
	  "300 wait y = again\n300 report a 0 0 100\n"
	  "300 wait y = late-ready\n" },
	{ "backlog-late-calls-are-sent-before-the-deadline",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 wait y objective=250 deadline=2000 = again\n"
	  "1700 report a 1 0 100\n1700 wait y = again\n"
	  "1850 report a 1 0 100\n1850 wait y = late-ready\n" },
	{ "contention-high-last-slot-stays-free",
	  "0 contention 1.6\n0 copy a 3\n0 report a 2 0 100\n"
	  "1 wait x objective=250 = again\n20 report a 1 0 100\n"
	  "21 wait x = ready\n" },
	{ "contention-low-last-slot-is-used",
	  "0 contention 1.6\n0 copy a 2\n0 report a 1 0 100\n"
	  "1 wait x objective=250 = ready\n" },
	{ "contention-is-ignored-with-one-slot",
	  "0 contention 3\n0 copy a 1\n0 report a 0 0 100\n"
	  "1 wait x objective=250 quick-only = ready\n" },

	/* Copies that shed a fraction of their calls while slots are free. */
	{ "shedding-copies-retry-after-is-short",
	  "0 budget 0 0\n0 copy a 2\n0 report a 0 0 100\n"
	  "0 arrive x objective=250 = send a\n0 end x shed = respond\n"
	  "1 retry-after x = short\n" },
	{ "full-copies-retry-after-is-long",
	  "0 budget 0 0\n0 copy a 2\n0 report a 0 0 100\n"
	  "0 arrive x objective=250 = send a\n0 report a 3 3 100\n"
	  "0 end x shed = respond\n"
	  "1 retry-after x = long\n" },
	{ "copies-of-other-zones-do-not-shorten-retry-after",
	  "0 budget 0 0\n0 copy a 2\n0 copy f 2 zone=there\n"
	  "0 report a 0 0 100\n0 report f 0 0 500\n"
	  "0 arrive x objective=250 = send a\n0 report a 3 3 100\n"
	  "0 end x shed = respond\n"
	  "1 retry-after x = long\n" },

	/* Callers of one route that wait for different times: a shorter timeout does
	   not show that a caller has spent time before it came here. */
	{ "unequal-patience-is-no-sign-of-lateness",
	  "0 copy a 2\n0 copy b 2\n0 report a 1 0 100\n0 report b 1 0 100\n"
	  "0 wait x objective=250 deadline=2000 = ready\n"
	  "0 wait y objective=250 deadline=1700 = ready\n" },

	/* A crowd at few copies: several calls wait when a slot gets free. */
	{ "crowd-no-free-slot-wakes-nobody",
	  "0 copy a 2\n0 report a 2 0 100\n0 take = none\n"
	  "0 await x objective=250\n1 take = none\n" },
	{ "crowd-free-slot-wakes-one-call",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 await x objective=250\n1 await y objective=250\n"
	  "20 report a 0 0 100\n20 take = x\n20 take = y\n20 take = none\n" },
	{ "crowd-call-that-can-be-in-time-goes-first",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 await late objective=250 deadline=800\n"
	  "200 await fresh objective=250 deadline=2000\n"
	  "201 report a 0 0 100\n201 take = fresh\n201 take = late\n" },
	{ "crowd-more-urgent-call-goes-first",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 await view objective=250 priority=2\n"
	  "10 await order objective=250 priority=1\n"
	  "20 report a 0 0 100\n20 take = order\n20 take = view\n" },
	{ "crowd-objective-that-ends-first-goes-first",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 await long objective=900\n10 await short objective=250\n"
	  "20 report a 0 0 100\n20 take = short\n20 take = long\n" },
	{ "crowd-late-calls-leave-the-last-slot-free",
	  "0 copy a 2\n0 report a 2 0 100\n"
	  "0 await late objective=250 deadline=2000\n"
	  "300 report a 1 0 100\n300 take = none\n"
	  "310 report a 0 0 100\n310 take = late\n" },
	{ "crowd-call-that-went-is-not-woken",
	  "0 copy a 2\n0 report a 2 0 100\n0 await x objective=250\n"
	  "10 leave x\n20 report a 0 0 100\n20 take = none\n"
	  "20 leave x\n" },

	/* All VMs have stopped and started: to a new entry all copies are new. What a
	   copy reports counts, not that its process may just have started. */
	{ "restart-copy-in-slow-start-costs-what-it-reports",
	  "0 copy a 2\n0 copy b 2\n0 slow-start a 3000\n"
	  "0 report a 0 0 100\n0 report b 0 0 150\n"
	  "1 wait x objective=250 quick-only = ready\n1 arrive x = send a\n" },

	/* All copies of a service are in other zones. A call that waits must go on
	   probing them, as reports get old while it waits. */
	{ "no-copy-in-zone-probes-others-in-each-round",
	  "0 copy f 2 zone=there\n"
	  "0 plan x 0 = subset quick\n0 plan x 3 = others\n"
	  "0 plan x 4 = others\n0 plan x 9 = others\n" },
	{ "copies-of-zone-end-probes-others-in-each-round",
	  "0 copy a 2\n0 copy f 2 zone=there\n0 rest a 5000\n"
	  "0 plan x 3 = others\n0 plan x 4 = others\n" },

	/* A zone whose copies are full, while other zones have room, and more calls
	   than there may be probes. */
	{ "full-zone-probes-the-zone-first",
	  "0 copy a 2\n0 probe-rate 10\n"
	  "0 plan x 0 = subset quick\n0 plan x 1 = subset quick\n"
	  "0 plan x 2 = subset\n0 plan x 3 = others\n0 plan x 4 = zone\n"
	  "0 plan x 5 = zone\n" },
	{ "full-zone-scarce-probes-go-to-other-zones",
	  "0 copy a 2\n0 copy b 2\n0 probe-rate 0.6\n"
	  "0 candidates same-zone = a b\n"
	  "0 plan x 0 = subset\n0 plan x 1 = others\n0 plan x 2 = zone\n"
	  "0 plan x 3 = others\n"
	  "5000 plan x 0 = subset quick\n5000 plan x 1 = subset quick\n" },
	{ "full-zone-scarce-probes-are-made-by-the-first-call",
	  "0 copy a 2\n0 copy b 2\n0 probe-rate 0.6\n"
	  "0 candidates same-zone = a b\n"
	  "0 await x objective=250 priority=1\n"
	  "0 await y objective=250 priority=2\n"
	  "0 plan x 1 = others\n0 plan y 0 = subset\n0 plan y 1 = none\n"
	  "0 leave x\n0 plan y 1 = others\n" },

	/* A zone with few copies and many callers. */
	{ "small-zone-serves-while-in-time",
	  "0 copy a 2\n0 copy f 2 zone=there\n"
	  "0 report a 1 0 150\n0 report f 0 0 100\n"
	  "0 wait x objective=250 other-zones = ready\n0 arrive x = send a\n" },
	{ "small-zone-spills-over-for-a-response-in-time",
	  "0 copy a 2\n0 copy f 2 zone=there\n"
	  "0 report a 0 0 500\n0 report f 0 0 100\n"
	  "0 wait x objective=250 = again\n0 wait x other-zones = ready\n"
	  "0 arrive x = send f\n" },
	{ "small-zone-needs-a-report-to-spill-over",
	  "0 copy a 2\n0 copy f 2 zone=there\n0 report a 0 0 500\n"
	  "0 wait x objective=250 other-zones = again\n" },
	{ "lost-zone-is-served-by-others",
	  "0 copy f 2 zone=there\n0 report f 0 0 100\n"
	  "0 wait x objective=250 = ready\n0 arrive x = send f\n" },

	/* Probes use slots: only copies without a recent report are probed. */
	{ "probing-skips-recent-reports",
	  "0 copy a 2\n0 copy b 2\n0 copy c 2 zone=there\n"
	  "0 report a 0 0 100\n"
	  "10 candidates same-zone = b\n10 candidates other-zones = c\n"
	  "50 candidates same-zone = a b\n" },
	/* A crowd on all copies: a call that has waited in vain is refused, as it
	   has not run, and does not queue at a copy behind the calls of others. */
	{ "crowd-call-is-not-sent-blindly-at-last",
	  "0 copy a 2\n0 report a 2 6 100\n"
	  "0 wait x objective=250 deadline=1200 = again\n"
	  "1050 wait x = expired\n1050 arrive x = refuse queue\n" },
	{ "crowd-that-has-passed-is-forgotten",
	  "0 copy a 2\n0 copy b 2\n0 report a 2 6 100\n0 reports b 100 0\n"
	  "1050 arrive x objective=250 deadline=2000 = send b\n"
	  "1050 arrive y objective=250 deadline=2000 = send a\n" },
	/* A crowd on all copies: waiting calls do not probe without bound. */
	{ "crowd-probes-within-the-rate",
	  "0 copy a 2\n0 copy b 2\n0 probe-rate 0.8\n"
	  "40 candidates same-zone = a b\n40 candidates same-zone = a b\n"
	  "40 candidates same-zone = \n1200 candidates same-zone = \n"
	  "2550 candidates same-zone = a b\n2550 candidates same-zone = \n" },
	{ "crowd-probes-again-after-a-pause",
	  "0 copy a 2\n0 copy b 2\n0 probe-rate 0.2\n"
	  "10 candidates same-zone = one\n10 candidates same-zone = \n"
	  "4900 candidates same-zone = \n5100 candidates same-zone = one\n" },
	{ "probing-skips-draining-copies", "0 copy a 2\n0 copy b 2\n0 drain a\n"
					   "50 candidates same-zone = b\n" },

	/* Copies that respond that they leave, before they announce it. */
	{ "leaving-copy-gets-no-calls",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 100\n"
	  "0 leaving a = new\n0 leaving a = known\n"
	  "0 arrive x objective=250 = send b\n" },
	{ "leaving-copy-is-not-probed",
	  "0 copy a 2\n0 copy b 2\n0 leaving a = new\n"
	  "50 candidates same-zone = b\n" },
	{ "leaving-copy-loses-the-call-chosen-for-it",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 100\n"
	  "0 arrive x objective=250 = send a\n0 may-send a = yes\n"
	  "0 leaving a = new\n0 may-send a = no\n"
	  "0 end x connect = wait\n0 next = x b\n" },
	{ "leaving-copy-gets-no-hedge",
	  "0 budget 1 9\n0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n0 arrive x objective=250 idem = send a\n"
	  "1 leaving b = new\n400 hedge = none\n" },
	{ "leaving-last-copy-refuses-at-once",
	  "0 copy a 2\n0 report a 0 0 100\n0 leaving a = new\n"
	  "0 arrive x objective=250 = refuse no-copy\n" },
	{ "leaving-copy-has-a-successor-at-its-address",
	  "0 copy a 2\n0 leaving a = new\n0 copy a2 2\n"
	  "0 report a2 0 0 100\n0 arrive x objective=250 = send a2\n" },
	{ "leaving-ends-with-a-new-process",
	  "0 copy a 2\n0 leaving a = new\n0 new-process a\n"
	  "0 report a 0 0 100\n0 may-send a = yes\n" },

	/* Copies that turn calls away and ask for none for a while. */
	{ "resting-copy-gets-no-calls-until-the-end",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 100\n"
	  "0 rest a 500\n0 arrive x objective=250 = send b\n"
	  "0 may-send a = no\n499 may-send a = no\n500 may-send a = yes\n"
	  "500 report a 0 0 100\n500 arrive y objective=250 = send a\n" },
	{ "resting-copy-is-not-probed",
	  "0 copy a 2\n0 copy b 2\n0 rest a 500\n"
	  "50 candidates same-zone = b\n500 candidates same-zone = a b\n" },
	{ "resting-copy-gets-no-hedge",
	  "0 budget 1 9\n0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n0 arrive x objective=250 idem = send a\n"
	  "1 rest b 2000\n400 hedge = none\n" },
	{ "resting-copy-is-not-shortened",
	  "0 copy a 2\n0 rest a 500\n0 rest a 100\n"
	  "499 may-send a = no\n500 may-send a = yes\n" },
	{ "resting-ejected-copy-gets-no-probation-call",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 200\n"
	  "0 arrive x objective=250 idem = send a\n0 end x connect = wait\n"
	  "0 next = x b\n0 end x ok = respond\n"
	  "40 report a 0 0 100\n40 arrive y objective=250 = send a\n"
	  "40 end y connect = wait\n40 next = y b\n40 end y ok = respond\n"
	  "41 rest a 5000\n900 report b 0 0 200\n"
	  "900 arrive z objective=250 idem = send b\n" },
	{ "all-rest-late-call-is-refused-at-once",
	  "0 copy a 2\n0 copy b 2\n0 rest a 5000\n0 rest b 4000\n"
	  "0 arrive x objective=250 = refuse no-copy\n"
	  "0 retry-after x = 4000 to 5100\n" },
	{ "all-rest-shortly-call-waits",
	  "0 copy a 2\n0 rest a 50\n0 arrive x objective=250 = wait\n"
	  "49 next = none\n50 report a 0 0 100\n50 next = x a\n" },
	{ "all-rest-except-leaving-ones",
	  "0 copy a 2\n0 copy b 2\n0 leaving a = new\n0 rest b 4000\n"
	  "0 arrive x objective=250 = refuse no-copy\n" },

	/* Copies that name a rate of requests that they accept from all entries
	   together. */
	{ "limited-copy-gets-no-calls-until-the-rate-is-held",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 100\n"
	  "0 rate a 1000 0 = new\n0 arrive x objective=250 = send b\n"
	  "0 candidates same-zone = \n50 candidates same-zone = b\n"
	  "900 report a 0 0 100\n900 report b 1 0 100\n"
	  "900 declare a 1000 1 other\n4000 report a 0 0 100\n"
	  "4000 report b 1 0 100\n4000 arrive y objective=250 = send b\n" },
	{ "limited-copy-gets-calls-of-the-holder-at-the-rate",
	  "0 copy a 2\n0 declare a 1000 1 held\n"
	  "999 arrive x objective=250 = wait\n999 next = none\n"
	  "1000 report a 0 0 100\n1000 next = x a\n1000 end x ok = respond\n"
	  "1999 arrive y objective=250 = wait\n1999 next = none\n"
	  "2000 next = y a\n" },
	{ "limited-copy-has-its-probes-counted",
	  "0 copy a 2\n0 copy b 2\n0 declare a 1000 1 held\n"
	  "1999 candidates same-zone = b\n2000 candidates same-zone = a b\n"
	  "2000 report a 0 0 100\n2001 report b 2 0 100\n"
	  "2001 arrive x objective=250 = send a\n"
	  "2100 report a 0 0 100\n2100 report b 0 0 500\n"
	  "2100 arrive y objective=250 = send b\n"
	  "3999 candidates same-zone = b\n4000 candidates same-zone = a b\n" },
	{ "limited-copy-gets-no-hedge",
	  "0 budget 1 9\n0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n0 arrive x objective=250 idem = send a\n"
	  "1 rate b 1000 0 = new\n400 hedge = none\n" },
	{ "limited-copy-is-free-once-it-names-no-rate",
	  "0 copy a 2\n0 declare a 1000 1 held\n1500 rate a 0 1400 = new\n"
	  "1500 rate-report a = yes\n1500 report a 0 0 100\n"
	  "1500 arrive x objective=250 = send a\n"
	  "1501 arrive y objective=250 = send a\n"
	  "1502 declare a 0 0 other\n1502 rate-report a = no\n" },
	{ "limited-copy-is-not-freed-by-an-earlier-request",
	  "0 copy a 2\n10 rate a 1000 5 = new\n20 rate a 0 9 = known\n"
	  "20 rate a 1000 15 = known\n20 rate-report a = yes\n"
	  "30 declare a 1000 1 held\n30 rate-report a = no\n"
	  "40 rate a 0 29 = known\n" },
	{ "limited-copy-is-free-if-the-keepers-do-not-confirm",
	  "0 copy a 2\n0 rate a 1000 0 = new\n4999 rate-report a = yes\n"
	  "5000 rate-report a = no\n5000 report a 0 0 100\n"
	  "5000 arrive x objective=250 = send a\n" },
	{ "limited-copy-is-shared-by-entries-that-lost-the-keepers",
	  "0 copy a 2\n0 share 0.25\n0 declare a 1000 1 other\n"
	  "0 coordination 900\n950 candidates same-zone = \n"
	  "1000 coordination 900\n8999 candidates same-zone = \n"
	  "13001 candidates same-zone = a\n13002 candidates same-zone = \n"
	  "17002 candidates same-zone = a\n" },
	{ "limited-copy-learned-without-keepers-is-shared",
	  "0 copy a 2\n0 share 0.25\n0 coordination 0\n"
	  "10 rate a 1000 5 = new\n4000 candidates same-zone = \n"
	  "4000 rate-report a = no\n7999 candidates same-zone = \n"
	  "12011 candidates same-zone = a\n20000 coordination 30000\n"
	  "20001 rate-report a = yes\n24999 rate-report a = yes\n"
	  "25000 rate-report a = no\n" },
	{ "limited-copy-is-left-by-a-holder-that-lost-the-keepers",
	  "0 copy a 2\n0 declare a 1000 1 held\n0 coordination 1500\n"
	  "1400 report a 0 0 100\n1400 arrive x objective=250 = send a\n"
	  "1400 end x ok = respond\n3500 candidates same-zone = \n" },
	{ "limited-copy-gets-calls-again-when-the-keepers-are-back",
	  "0 copy a 2\n0 share 0.25\n0 declare a 1000 1 held\n"
	  "0 coordination 1500\n2000 coordination 1500\n"
	  "3000 coordination 5000\n4999 candidates same-zone = \n"
	  "5000 coordination 9000\n5001 candidates same-zone = a\n" },
	{ "limited-copies-of-other-entries-are-refused-at-once",
	  "0 copy a 2\n0 declare a 1000 1 other\n"
	  "0 arrive x objective=250 = refuse no-copy\n"
	  "0 retry-after x = 1000 to 1400\n" },
	{ "limited-copy-has-a-new-process",
	  "0 copy a 2\n0 declare a 1000 1 other\n0 new-process a\n"
	  "0 report a 0 0 100\n0 arrive x objective=250 = send a\n" },

	/* Copies without reports, or with reports but unreachable. */
	{ "silent-copy-is-skipped",
	  "0 copy a 2\n0 copy b 2\n0 no-report a\n0 report b 1 0 100\n"
	  "0 wait x objective=250 = ready\n0 arrive x = send b\n" },
	{ "unreachable-copies-are-ejected-and-tried-again",
	  "0 copy a 2\n0 copy b 2\n0 report a 0 0 100\n0 report b 1 0 200\n"
	  "0 arrive x objective=250 idem = send a\n0 end x connect = wait\n"
	  "0 next = x b\n0 end x ok = respond\n"
	  "40 report a 0 0 100\n40 arrive y objective=250 = send a\n"
	  "40 end y connect = wait\n40 next = y b\n40 end y ok = respond\n"
	  "60 report a 0 0 100\n60 report b 0 0 200\n"
	  "60 arrive z objective=250 = send b\n" },

	/* Second sends, from a budget that all entries share. */
	{ "retry-budget-limits-second-sends",
	  "0 budget 0.2 2\n0 copy a 9\n0 copy b 9\n"
	  "0 report a 0 0 100\n0 report b 1 0 100\n"
	  "0 arrive x objective=250 idem = send a\n0 end x error = wait\n"
	  "0 next = x b\n0 end x error = respond\n"
	  "0 arrive y objective=250 idem = send a\n0 end y error = respond\n" },
	{ "retry-of-unsent-call-is-exempt",
	  "0 budget 0 0\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 arrive x objective=250 attempts=1 = send a\n"
	  "0 end x connect = wait\n0 next = x b\n" },
	{ "retry-attempts-count-copies-that-got-it",
	  "0 budget 1 9\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 arrive x objective=250 idem attempts=1 = send a\n"
	  "0 end x error = respond\n" },
	/* Guards against a second send that no copy received and that uses up
	   the repeat of its call. */
	{ "retry-after-unsent-hedge",
	  "0 budget 1 9\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n"
	  "0 arrive x objective=250 idem attempts=2 = send a\n"
	  "400 hedge = x b\n401 hedge-end x connect = wait\n"
	  "402 end x cut = wait\n" },
	{ "retry-not-after-sent-hedge",
	  "0 budget 1 9\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n"
	  "0 arrive x objective=250 idem attempts=2 = send a\n"
	  "400 hedge = x b\n401 hedge-end x cut = wait\n"
	  "402 end x cut = respond\n" },
	{ "retry-after-unsent-hedge-is-in-the-budget",
	  "0 budget 0.2 2\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n0 arrive x objective=250 idem = send a\n"
	  "400 hedge = x b\n401 hedge-end x connect = wait\n"
	  "402 end x cut = wait\n" },
	{ "retry-after-sent-hedge-is-not-in-the-budget",
	  "0 budget 0.2 2\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 report b 1 0 100\n0 arrive x objective=250 idem = send a\n"
	  "400 hedge = x b\n401 hedge-end x cut = wait\n"
	  "402 end x cut = respond\n" },
	{ "not-idempotent-call-is-not-sent-again",
	  "0 budget 1 9\n0 copy a 9\n0 copy b 9\n0 report a 0 0 100\n"
	  "0 arrive x objective=250 attempts=3 = send a\n"
	  "0 end x cut = respond\n" },
};

static script_call_t *script_call(script_t *script, const char *name)
{
	script_call_t *call;
	unsigned i;

	for (i = 0; i < script->call_count; i++)
		if (!strcmp(script->calls[i].name, name))
			return &script->calls[i];
	g_assert_cmpuint(script->call_count, <, CALLS_MAX);
	call = &script->calls[script->call_count++];
	g_strlcpy(call->name, name, sizeof(call->name));
	call->call.arrived = script->now;
	call->call.deadline = script->now + 2000 * USEC_PER_MS;
	call->call.attempts_max = 3;
	return call;
}

static const char *script_name(const script_t *script, const entry_call_t *call)
{
	unsigned i;

	for (i = 0; i < script->call_count; i++)
		if (&script->calls[i].call == call)
			return script->calls[i].name;
	return "none";
}

static bool script_option(const char *word, const char *key, long *value)
{
	size_t length = strlen(key);

	if (strncmp(word, key, length) || word[length] != '=')
		return false;
	*value = strtol(word + length + 1, NULL, 10);
	return true;
}

/* Whether @flag is among the words of a line. */
static bool script_flag(char **words, const char *flag)
{
	for (; *words; words++)
		if (!strcmp(*words, flag))
			return true;
	return false;
}

/* Set the options of a call, in any order. */
static void script_options(script_call_t *call, char **words)
{
	long value;

	for (; *words; words++) {
		if (script_option(*words, "objective", &value))
			call->call.objective = value * USEC_PER_MS;
		else if (script_option(*words, "deadline", &value))
			call->call.deadline = call->call.arrived +
					      value * USEC_PER_MS;
		else if (script_option(*words, "attempts", &value))
			call->call.attempts_max = (unsigned)value;
		else if (script_option(*words, "priority", &value))
			call->call.priority = (unsigned)value;
		else if (!strcmp(*words, "idem"))
			call->call.idempotent = true;
	}
}

static entry_copy_t *script_copy(script_t *script, const char *name)
{
	entry_copy_t *copy = entry_service_copy_find(&script->svc, name);

	g_assert_nonnull(copy);
	return copy;
}

static char *run_copy(script_t *script, char **words)
{
	entry_copy_t *copy;

	copy = entry_service_copy_add(&script->svc, words[1], script->now);
	copy->slots = (unsigned)atoi(words[2]);
	copy->limit = 99;
	copy->in_subset = true;
	g_strlcpy(copy->zone,
		  words[3] && g_str_has_prefix(words[3], "zone=") ?
			  words[3] + strlen("zone=") :
			  "here",
		  sizeof(copy->zone));
	return NULL;
}

static char *run_report(script_t *script, char **words)
{
	load_t load = { .running = (unsigned)atoi(words[2]),
			.waiting = (unsigned)atoi(words[3]),
			.slowness = (unsigned)atoi(words[4]) };

	entry_service_on_report(&script->svc, script_copy(script, words[1]),
				&load, script->now);
	return NULL;
}

/* Record a number of reports of a copy with the same number of calls. */
static char *run_reports(script_t *script, char **words)
{
	load_t load = { .running = (unsigned)atoi(words[3]), .slowness = 100 };
	int left = atoi(words[2]);

	while (left-- > 0)
		entry_service_on_report(&script->svc,
					script_copy(script, words[1]), &load,
					script->now);
	return NULL;
}

static char *run_no_report(script_t *script, char **words)
{
	entry_service_on_probe_failed(script_copy(script, words[1]),
				      script->now);
	return NULL;
}

static char *run_drain(script_t *script, char **words)
{
	script_copy(script, words[1])->draining = true;
	return NULL;
}

static char *run_leaving(script_t *script, char **words)
{
	bool is_new = entry_service_on_leaving(script_copy(script, words[1]));

	return g_strdup(is_new ? "new" : "known");
}

static char *run_rest(script_t *script, char **words)
{
	entry_service_on_rest(script_copy(script, words[1]),
			      atoi(words[2]) * USEC_PER_MS, script->now);
	return NULL;
}

/* "rate COPY MILLIRATE SENT_MS" */
static char *run_rate(script_t *script, char **words)
{
	usec_t sent = (1000 + strtol(words[3], NULL, 10)) * USEC_PER_MS;
	bool is_new;

	is_new = entry_service_on_rate(&script->svc,
				       script_copy(script, words[1]),
				       (unsigned)atoi(words[2]), sent,
				       script->now);
	return g_strdup(is_new ? "new" : "known");
}

/* "declare COPY MILLIRATE REVISION held|other" */
static char *run_declare(script_t *script, char **words)
{
	entry_service_declare_rate(&script->svc, script_copy(script, words[1]),
				   (unsigned)atoi(words[2]),
				   (uint64_t)atoi(words[3]),
				   !strcmp(words[4], "held"), script->now);
	return NULL;
}

static char *run_rate_report(script_t *script, char **words)
{
	bool due = entry_service_rate_report(&script->svc,
					     script_copy(script, words[1]),
					     script->now);

	return g_strdup(due ? "yes" : "no");
}

static char *run_coordination(script_t *script, char **words)
{
	usec_t until = (1000 + strtol(words[1], NULL, 10)) * USEC_PER_MS;

	entry_service_set_coordination(&script->svc, until, script->now);
	return NULL;
}

static char *run_share(script_t *script, char **words)
{
	entry_service_set_limits(&script->svc, 0, g_strtod(words[1], NULL));
	return NULL;
}

static char *run_may_send(script_t *script, char **words)
{
	bool may = entry_service_may_send(script_copy(script, words[1]),
					  script->now, script->now);

	return g_strdup(may ? "yes" : "no");
}

static char *run_new_process(script_t *script, char **words)
{
	entry_copy_t *copy = script_copy(script, words[1]);

	entry_service_copy_reset(&script->svc, copy);
	copy->draining = copy->leaving;
	return NULL;
}

static char *run_hedge(script_t *script, char **words)
{
	entry_call_t *call = entry_service_hedge(&script->svc, script->now);

	(void)words;
	if (!call)
		return g_strdup("none");
	return g_strdup_printf("%s %s", script_name(script, call),
			       call->hedged_copy->name);
}

static char *run_budget(script_t *script, char **words)
{
	entry_service_set_retry_budget(&script->svc,
				       g_ascii_strtod(words[1], NULL),
				       g_ascii_strtod(words[2], NULL),
				       BUDGET_WINDOW,
				       script->now - BUDGET_WINDOW);
	return NULL;
}

static char *run_contention(script_t *script, char **words)
{
	script->svc.contention = g_ascii_strtod(words[1], NULL);
	script->svc.contention_samples = 1;
	return NULL;
}

static char *run_wait(script_t *script, char **words)
{
	script_call_t *call = script_call(script, words[1]);
	entry_wait_t wait;

	script_options(call, words + 2);
	wait = entry_service_wait_for_copy(&script->svc, &call->call,
					   script_flag(words, "other-zones"),
					   script_flag(words, "quick-only"),
					   script->now);
	if (wait == ENTRY_WAIT_READY)
		return g_strdup(script->now + SERVICE_TIME >
						entry_report_objective_end(
							&call->call) ?
					"late-ready" :
					"ready");
	return g_strdup(wait == ENTRY_WAIT_AGAIN ? "again" : "expired");
}

static char *script_decision(const entry_call_t *call,
			     const entry_decision_t *decision)
{
	switch (decision->verdict) {
	case ENTRY_SEND:
		return g_strdup_printf("send %s", call->copy->name);
	case ENTRY_WAIT:
		return g_strdup("wait");
	case ENTRY_RESPOND:
		return g_strdup("respond");
	default:
		return g_strdup_printf("refuse %s",
				       entry_refusal_name(decision->refusal));
	}
}

static char *run_arrive(script_t *script, char **words)
{
	script_call_t *call = script_call(script, words[1]);
	entry_decision_t decision;

	script_options(call, words + 2);
	decision = entry_service_arrive(&script->svc, &call->call, script->now);
	return script_decision(&call->call, &decision);
}

static entry_result_t script_result(const char *word)
{
	entry_result_t result;

	for (result = ENTRY_RESULT_OK; result <= ENTRY_RESULT_CANCEL; result++)
		if (!strcmp(word, entry_result_name(result)))
			return result;
	g_error("unknown result %s", word);
}

static char *run_end(script_t *script, char **words)
{
	script_call_t *call = script_call(script, words[1]);
	entry_decision_t decision;

	decision = entry_service_end(&script->svc, &call->call,
				     script_result(words[2]), script->now);
	return script_decision(&call->call, &decision);
}

static char *run_hedge_end(script_t *script, char **words)
{
	script_call_t *call = script_call(script, words[1]);
	entry_decision_t decision;

	decision = entry_service_hedge_end(&script->svc, &call->call,
					   script_result(words[2]),
					   script->now);
	return script_decision(&call->call, &decision);
}

/* Return the copies that the round probes, and whether only a quick one is taken
 * after it. */
static char *run_plan(script_t *script, char **words)
{
	static const char *const scopes[] = {
		[ENTRY_SCOPE_SUBSET] = "subset",
		[ENTRY_SCOPE_ZONE] = "zone",
		[ENTRY_SCOPE_OTHER_ZONES] = "others",
	};
	script_call_t *call = script_call(script, words[1]);
	entry_probe_plan_t plan;

	plan = entry_service_plan_probes(&script->svc, &call->call,
					 (unsigned)atoi(words[2]), script->now);
	if (!plan.probes)
		return g_strdup("none");
	return g_strdup_printf("%s%s", scopes[plan.scope],
			       plan.quick_only ? " quick" : "");
}

static char *run_slow_start(script_t *script, char **words)
{
	entry_service_slow_start(script_copy(script, words[1]),
				 atoi(words[2]) * USEC_PER_MS, script->now);
	return NULL;
}

static char *run_await(script_t *script, char **words)
{
	script_call_t *call = script_call(script, words[1]);

	script_options(call, words + 2);
	entry_await_add(&script->svc, &call->call);
	return NULL;
}

static char *run_leave(script_t *script, char **words)
{
	entry_await_remove(&script_call(script, words[1])->call);
	return NULL;
}

static char *run_take(script_t *script, char **words)
{
	entry_call_t *call = entry_await_take(&script->svc, script->now);

	(void)words;
	return g_strdup(script_name(script, call));
}

static char *run_next(script_t *script, char **words)
{
	entry_call_t *call = entry_service_next(&script->svc, script->now);

	(void)words;
	if (!call)
		return g_strdup("none");
	return g_strdup_printf("%s %s", script_name(script, call),
			       call->copy->name);
}

/* Return whether the retry-after of a refusal is short, as long as a call
 * occupies a slot, or in the range, in ms, after a rest of 4 s. */
static char *run_retry_after(script_t *script, char **words)
{
	script_call_t *call = script_call(script, words[1]);
	usec_t after;

	after = entry_service_retry_after(&script->svc, &call->call,
					  script->now);
	if (after >= 4000 * USEC_PER_MS && after <= 5100 * USEC_PER_MS)
		return g_strdup("4000 to 5100");
	if (after >= 1000 * USEC_PER_MS && after <= 1400 * USEC_PER_MS)
		return g_strdup("1000 to 1400");
	return g_strdup(after < SERVICE_TIME / 4 ? "short" : "long");
}

static int compare_names(const void *a, const void *b)
{
	return strcmp((*(entry_copy_t *const *)a)->name,
		      (*(entry_copy_t *const *)b)->name);
}

static char *run_candidates(script_t *script, char **words)
{
	entry_call_t call = { .objective = 250 * USEC_PER_MS };
	GString *names = g_string_new(NULL);
	entry_copy_t *copies[4];
	entry_scope_t scope = ENTRY_SCOPE_OTHER_ZONES;
	unsigned count;
	unsigned i;

	if (!strcmp(words[1], "same-zone"))
		scope = ENTRY_SCOPE_ZONE;
	count = entry_service_candidates(&script->svc, &call,
					 script->now - 30 * USEC_PER_MS, scope,
					 copies, G_N_ELEMENTS(copies),
					 script->now);
	/* One of two equal copies is chosen at random. */
	if (count == 1 && script->svc.probe_rate.rate > 0) {
		g_string_assign(names, "one");
		return g_string_free(names, FALSE);
	}
	qsort(copies, count, sizeof(entry_copy_t *), compare_names);
	for (i = 0; i < count; i++)
		g_string_append_printf(names, "%s%s", i ? " " : "",
				       copies[i]->name);
	return g_string_free(names, FALSE);
}

static char *run_probe_rate(script_t *script, char **words)
{
	entry_service_set_probe_rate(&script->svc,
				     g_ascii_strtod(words[1], NULL),
				     script->now);
	return NULL;
}

static const struct {
	const char *name;
	char *(*run)(script_t *script, char **words);
} commands[] = {
	{ "copy", run_copy },
	{ "report", run_report },
	{ "reports", run_reports },
	{ "no-report", run_no_report },
	{ "drain", run_drain },
	{ "leaving", run_leaving },
	{ "rest", run_rest },
	{ "rate", run_rate },
	{ "declare", run_declare },
	{ "rate-report", run_rate_report },
	{ "coordination", run_coordination },
	{ "share", run_share },
	{ "may-send", run_may_send },
	{ "new-process", run_new_process },
	{ "hedge", run_hedge },
	{ "hedge-end", run_hedge_end },
	{ "budget", run_budget },
	{ "wait", run_wait },
	{ "arrive", run_arrive },
	{ "end", run_end },
	{ "next", run_next },
	{ "candidates", run_candidates },
	{ "await", run_await },
	{ "slow-start", run_slow_start },
	{ "plan", run_plan },
	{ "leave", run_leave },
	{ "take", run_take },
	{ "probe-rate", run_probe_rate },
	{ "contention", run_contention },
	{ "retry-after", run_retry_after },
};

static char *script_command(script_t *script, char **words)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(commands[i].name, words[0]))
			return commands[i].run(script, words);
	g_error("unknown command %s", words[0]);
	return NULL;
}

/* Run a line and append it with its result to the transcript. */
static void script_line(script_t *script, const char *line, GString *transcript)
{
	char **command_and_result = g_strsplit(line, " = ", 2);
	char **words = g_strsplit(command_and_result[0], " ", -1);
	char *result;

	/* Time 0 of a script is one second: a report time of 0 means none. */
	script->now = (1000 + strtol(words[0], NULL, 10)) * USEC_PER_MS;
	result = script_command(script, words + 1);
	g_string_append(transcript, command_and_result[0]);
	if (result)
		g_string_append_printf(transcript, " = %s", result);
	g_string_append_c(transcript, '\n');
	g_free(result);
	g_strfreev(words);
	g_strfreev(command_and_result);
}

static void script_init(script_t *script)
{
	unsigned i;

	memset(script, 0, sizeof(*script));
	config_profile_set_defaults(&script->profile);
	entry_service_init(&script->svc, ENTRY_POLICY_REPORTS, &script->profile,
			   1);
	strcpy(script->svc.zone, "here");
	for (i = 0; i < ENTRY_WORK_KINDS; i++)
		script->svc.work_times[i] = (entry_work_time_t){ i,
								 SERVICE_TIME };
}

static void script_fini(script_t *script)
{
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &script->svc.copies, link)
		copy->outstanding = 0;
	entry_service_fini(&script->svc);
}

static void test_script(gconstpointer data)
{
	const char *text = cases[GPOINTER_TO_SIZE(data)].text;
	script_t *script = g_new(script_t, 1);
	GString *transcript = g_string_new(NULL);
	char **lines = g_strsplit(text, "\n", -1);
	unsigned i;

	script_init(script);
	for (i = 0; lines[i] && lines[i][0]; i++)
		script_line(script, lines[i], transcript);
	g_assert_cmpstr(transcript->str, ==, text);
	script_fini(script);
	g_strfreev(lines);
	g_string_free(transcript, TRUE);
	g_free(script);
}

/*
 * With many copies in a zone every entry prefers a small subset, and the
 * subsets of all entries together cover all copies.
 */
static void test_subset(void)
{
	enum { COPIES = 80, ENTRIES = 40 };
	unsigned used[COPIES] = { 0 };
	config_profile_t profile = { 0 };
	unsigned i, entry;

	for (entry = 0; entry < ENTRIES; entry++) {
		entry_service_t svc;
		entry_copy_t *copy;
		unsigned count = 0;

		entry_service_init(&svc, ENTRY_POLICY_REPORTS, &profile, 1);
		strcpy(svc.zone, "here");
		for (i = 0; i < COPIES; i++) {
			char name[16];

			g_snprintf(name, sizeof(name), "c%u", i);
			copy = entry_service_copy_add(&svc, name, 0);
			strcpy(copy->zone, "here");
		}
		entry_service_choose_subset(&svc, entry + 1);
		i = 0;
		cds_list_for_each_entry (copy, &svc.copies, link) {
			used[i++] += copy->in_subset;
			count += copy->in_subset;
		}
		g_assert_cmpuint(count, ==, ENTRY_SUBSET_MAX);
		entry_service_fini(&svc);
	}
	for (i = 0; i < COPIES; i++)
		g_assert_cmpuint(used[i], >, 0);
}

/*
 * The service time is learned only from calls that found a free slot at a copy
 * of known speed; the time of a queued call includes its wait.
 */
static void test_service_time(void)
{
	const load_t free_slot = { .slowness = 200, .slots = 2 };
	const load_t full = { .slowness = 100, .running = 2, .waiting = 4 };
	script_t *script = g_new(script_t, 1);
	entry_call_t call = { .objective = 250 * USEC_PER_MS,
			      .work_kind = 1,
			      .deadline = 9000 * USEC_PER_MS };
	entry_decision_t decision;
	entry_copy_t *copy;

	script_init(script);
	copy = entry_service_copy_add(&script->svc, "a", 0);
	strcpy(copy->zone, "here");
	copy->slots = 2;
	copy->limit = 9;
	script->svc.work_times[1].normal = 0;
	/* The report is too old to show that the call finds a free slot. */
	entry_service_on_report(&script->svc, copy, &free_slot, 2000);
	decision = entry_service_arrive(&script->svc, &call,
					2000 + 60 * USEC_PER_MS);
	g_assert_cmpint(decision.verdict, ==, ENTRY_SEND);
	entry_service_end(&script->svc, &call, ENTRY_RESULT_OK, 900000);
	g_assert_cmpfloat(script->svc.work_times[1].normal, ==, 0);
	entry_service_on_report(&script->svc, copy, &free_slot, 1000000);
	decision = entry_service_arrive(&script->svc, &call, 1000000);
	g_assert_cmpint(decision.verdict, ==, ENTRY_SEND);
	entry_service_end(&script->svc, &call, ENTRY_RESULT_OK,
			  1000000 + 200 * USEC_PER_MS);
	g_assert_cmpfloat(script->svc.work_times[1].normal, >,
			  99 * USEC_PER_MS);
	g_assert_cmpfloat(script->svc.work_times[1].normal, <,
			  101 * USEC_PER_MS);
	entry_service_on_report(&script->svc, copy, &full, 2000000);
	decision = entry_service_arrive(&script->svc, &call, 2000000);
	g_assert_cmpint(decision.verdict, ==, ENTRY_REFUSE);
	script_fini(script);
	g_free(script);
}

/*
 * Two routes whose hashes share a position in the table: each has its own service
 * time. More routes than the table holds must not break it.
 */
static void test_work_kinds(void)
{
	const load_t idle = { .slowness = 100, .slots = 3 };
	script_t *script = g_new(script_t, 1);
	entry_copy_t *copy;
	usec_t now = 1000;
	unsigned i;

	script_init(script);
	memset(script->svc.work_times, 0, sizeof(script->svc.work_times));
	copy = entry_service_copy_add(&script->svc, "a", 0);
	strcpy(copy->zone, "here");
	copy->slots = 3;
	copy->limit = 9;
	for (i = 0; i < 4 * ENTRY_WORK_KINDS; i++) {
		usec_t took = (i % 2 ? 80 : 20) * USEC_PER_MS;
		entry_call_t call = { .objective = 250 * USEC_PER_MS,
				      .work_kind = 5 + i % 2 * ENTRY_WORK_KINDS,
				      .deadline = now + 2 * USEC_PER_SEC };

		entry_service_on_report(&script->svc, copy, &idle, now);
		entry_service_arrive(&script->svc, &call, now);
		now += took;
		entry_service_end(&script->svc, &call, ENTRY_RESULT_OK, now);
		if (i >= 2)
			g_assert_cmpfloat(
				entry_report_service_time(&script->svc, &call),
				==, (double)took);
	}
	for (i = 0; i < 4 * ENTRY_WORK_KINDS; i++) {
		entry_call_t call = { .objective = 250 * USEC_PER_MS,
				      .work_kind = i,
				      .deadline = now + 2 * USEC_PER_SEC };

		entry_service_on_report(&script->svc, copy, &idle, now);
		entry_service_arrive(&script->svc, &call, now);
		now += 50 * USEC_PER_MS;
		entry_service_end(&script->svc, &call, ENTRY_RESULT_OK, now);
		g_assert_cmpfloat(entry_report_service_time(&script->svc,
							    &call),
				  >, 0);
	}
	script_fini(script);
	g_free(script);
}

/*
 * Contention is learned from calls that took the last slot of a copy; they must
 * not change the estimate of the service time.
 */
static void test_contention(void)
{
	const load_t almost_full = { .slowness = 100,
				     .running = 2,
				     .slots = 3 };
	script_t *script = g_new(script_t, 1);
	entry_copy_t *copy;
	usec_t now = 1000;
	int i;

	script_init(script);
	script->svc.contention = 1;
	copy = entry_service_copy_add(&script->svc, "a", 0);
	strcpy(copy->zone, "here");
	copy->slots = 3;
	copy->limit = 9;
	for (i = 0; i < 100; i++) {
		entry_call_t call = { .objective = 250 * USEC_PER_MS,
				      .deadline = now + 2 * USEC_PER_SEC };

		entry_service_on_report(&script->svc, copy, &almost_full, now);
		entry_service_arrive(&script->svc, &call, now);
		now += SERVICE_TIME * 14 / 10;
		entry_service_end(&script->svc, &call, ENTRY_RESULT_OK, now);
	}
	g_assert_cmpfloat(script->svc.contention, >, 1.38);
	g_assert_cmpfloat(script->svc.contention, <, 1.42);
	g_assert_cmpfloat(script->svc.work_times[0].normal, ==, SERVICE_TIME);
	script_fini(script);
	g_free(script);
}

int main(int argc, char **argv)
{
	char path[96];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_snprintf(path, sizeof(path), "/reports/%s", cases[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_script);
	}
	g_test_add_func("/reports/subsets-cover-all-copies", test_subset);
	g_test_add_func("/reports/service-time-is-learned-without-waiting",
			test_service_time);
	g_test_add_func("/reports/work-kinds", test_work_kinds);
	g_test_add_func("/reports/contention-is-learned-apart",
			test_contention);
	return g_test_run();
}
