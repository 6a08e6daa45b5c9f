#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Scripted runs of the decision code. A line is "TIME COMMAND ... = RESULT",
 * the time in milliseconds; the result of the command must be equal. Lines
 * without a result set up the state. Options of a call: p=PRIORITY, c=CLASS,
 * t=TENANT, d=MS (time to its deadline). Each case is named for the rule whose
 * violation it detects.
 */

#define CALLS_MAX 64

typedef struct {
	char name[16];
	entry_call_t call;
} script_call_t;

typedef struct {
	entry_service_t svc;
	config_profile_t profile;
	config_class_t classes[2];
	script_call_t calls[CALLS_MAX];
	unsigned call_count;
	usec_t now;
	char health_events[64]; /* calls of on_health, oldest first */
} script_t;

static const struct {
	const char *name;
	const char *text;
} cases[] = {
	{ "send-to-least-share", "0 copy c1 2\n0 copy c2 2\n"
				 "0 arrive a = send c1\n"
				 "0 arrive b = send c2\n"
				 "0 arrive c = send c1\n"
				 "0 end a ok = respond\n"
				 "0 arrive d = send c1\n"
				 "0 arrive e = send c2\n" },
	{ "never-above-limit", "0 copy c1 3 limit=1\n"
			       "0 arrive a = send c1\n"
			       "0 arrive b = wait\n"
			       "0 next = none\n"
			       "1 end a ok = respond\n"
			       "1 next = b c1\n" },
	{ "never-above-connections", "0 profile pipeline=2\n"
				     "0 copy c1 3 connections=2\n"
				     "0 available = 2\n" },
	{ "limit-zero-waits", "0 copy c1 3 limit=0\n"
			      "0 arrive a = wait\n0 next = none\n" },
	{ "no-copy", "0 arrive a = refuse no-copy 1000 not-run\n"
		     "0 copy c1 1\n0 drain c1\n"
		     "0 arrive b = refuse no-copy 1000 not-run\n" },
	{ "draining-takes-no-work", "0 copy c1 1\n0 copy c2 1\n0 drain c1\n"
				    "0 arrive a = send c2\n"
				    "0 arrive b = wait\n0 next = none\n" },
	{ "drain-while-waiting", "0 copy c1 1\n0 copy c2 1 limit=0\n"
				 "0 arrive a = send c1\n0 arrive b = wait\n"
				 "1 drain c1\n1 end a ok = respond\n"
				 "1 next = none\n" },

	/* The queue. */
	{ "earliest-deadline-first", "0 copy c1 1\n0 arrive x = send c1\n"
				     "0 arrive a d=300 = wait\n"
				     "0 arrive b d=100 = wait\n"
				     "0 arrive c d=200 = wait\n"
				     "1 limit c1 9\n"
				     "1 next = b c1\n1 next = c c1\n"
				     "1 next = a c1\n1 next = none\n" },
	{ "classes-by-priority", "0 copy c1 1\n0 arrive x = send c1\n"
				 "0 arrive a p=2 d=50 = wait\n"
				 "0 arrive b p=1 d=60 = wait\n"
				 "0 arrive c p=0 d=70 = wait\n"
				 "1 limit c1 9\n"
				 "1 next = c c1\n1 next = b c1\n"
				 "1 next = a c1\n" },
	{ "waiting-class-is-served", "0 copy c1 1\n0 arrive x = send c1\n"
				     "0 arrive low p=1 d=50 = wait\n"
				     "0 many 20 high p=0 d=100\n"
				     "1 limit c1 99\n1 dispatch 15\n"
				     "1 next = low c1\n"
				     "1 next = high15 c1\n" },
	{ "tenants-by-deadline", "0 copy c1 1\n0 arrive x = send c1\n"
				 "0 many 4 f t=t1 d=50\n"
				 "0 arrive a t=t2 d=40 = wait\n"
				 "0 arrive b t=t2 d=60 = wait\n"
				 "1 limit c1 9\n1 next = a c1\n"
				 "1 dispatch 4\n1 next = b c1\n" },
	{ "heavy-tenant-takes-turns", "0 copy c1 1\n0 arrive x = send c1\n"
				      "0 many 12 f t=flood d=50\n"
				      "0 arrive a t=small d=90 = wait\n"
				      "0 arrive b t=small d=95 = wait\n"
				      "1 limit c1 99\n"
				      "1 next = f0 c1\n1 next = f1 c1\n"
				      "1 next = a c1\n1 next = f2 c1\n"
				      "1 next = b c1\n1 next = f3 c1\n" },
	{ "heavy-tenant-is-not-starved", "0 copy c1 1\n0 arrive x = send c1\n"
					 "0 many 12 f t=flood d=90\n"
					 "0 many 6 a t=small d=50\n"
					 "1 limit c1 99\n1 dispatch 1\n"
					 "1 arrive g t=flood d=90 = wait\n"
					 "1 dispatch 8\n1 waiting = 10\n"
					 "1 next = f4 c1\n" },
	{ "expired", "0 copy c1 1\n0 arrive x = send c1\n"
		     "0 arrive a d=10 = wait\n0 arrive b d=20 = wait\n"
		     "9 expire = none\n10 expire = a deadline not-run\n"
		     "10 expire = none\n20 expire = b deadline not-run\n"
		     "20 waiting = 0\n" },
	{ "deadline-passed-on-arrival", "0 copy c1 1\n"
					"0 arrive a d=0 = "
					"refuse deadline 1 not-run\n" },
	{ "cannot-make-deadline", "0 copy c1 1\n0 warm 20 10\n"
				  "300 arrive x = send c1\n"
				  "300 many 4 w d=900\n"
				  "300 arrive a d=30 = "
				  "refuse deadline 25 not-run\n"
				  "300 arrive b d=100 = wait\n"
				  "300 arrive c p=0 d=30 = "
				  "refuse deadline 35 not-run\n" },
	{ "full-queue-drops-less-urgent", "0 profile queue=2\n0 copy c1 1\n"
					  "0 arrive x = send c1\n"
					  "0 arrive a p=1 = wait\n"
					  "0 arrive b p=1 = wait\n"
					  "0 arrive c p=1 = "
					  "refuse queue 1000 not-run\n"
					  "0 arrive d p=0 = wait\n"
					  "0 expire = b queue not-run\n"
					  "0 expire = none\n"
					  "0 waiting = 2\n" },
	{ "full-queue-drops-heavy-tenant", "0 profile queue=3\n0 copy c1 1\n"
					   "0 arrive x = send c1\n"
					   "0 many 3 f t=flood\n"
					   "0 arrive a t=small = wait\n"
					   "0 expire = f2 queue not-run\n"
					   "0 arrive b t=flood = "
					   "refuse queue 1000 not-run\n" },
	{ "evicted-may-be-canceled", "0 profile queue=1\n0 copy c1 1\n"
				     "0 arrive x = send c1\n"
				     "0 arrive a p=1 = wait\n"
				     "0 arrive b p=0 = wait\n"
				     "0 cancel a\n0 expire = none\n"
				     "0 cancel b\n0 waiting = 0\n" },

	/* Limits. */
	{ "tenant-limit", "0 profile tenant_rate=10 tenant_burst=2\n"
			  "0 copy c1 9\n"
			  "0 arrive a t=t1 = send c1\n"
			  "0 arrive b t=t1 = send c1\n"
			  "0 arrive c t=t1 = refuse limit 100 not-run\n"
			  "0 arrive d t=t2 = send c1\n"
			  "60 arrive e t=t1 = refuse limit 40 not-run\n"
			  "100 arrive f t=t1 = send c1\n" },
	{ "limit-by-share", "0 profile tenant_rate=10 tenant_burst=2\n"
			    "0 share 0 0.5\n0 copy c1 9\n"
			    "0 arrive a = send c1\n"
			    "0 arrive b = refuse limit 200 not-run\n" },
	{ "service-limit", "0 share 10 1\n"
			   "0 copy c1 9\n"
			   "0 arrive a t=t1 = send c1\n"
			   "0 arrive b t=t2 = send c1\n"
			   "0 arrive c t=t3 = send c1\n"
			   "0 arrive d t=t4 = send c1\n"
			   "0 arrive e t=t5 = send c1\n"
			   "0 arrive f t=t6 = send c1\n"
			   "0 arrive g t=t7 = send c1\n"
			   "0 arrive h t=t8 = send c1\n"
			   "0 arrive i t=t9 = refuse limit 100 not-run\n"
			   "100 arrive j t=t9 = send c1\n" },
	{ "class-limit", "0 profile class1_rate=10\n"
			 "0 copy c1 19\n"
			 "0 arrive a c=1 = send c1\n"
			 "0 arrive b c=1 = send c1\n"
			 "0 arrive c c=1 = send c1\n"
			 "0 arrive d c=1 = send c1\n"
			 "0 arrive e c=1 = send c1\n"
			 "0 arrive f c=1 = send c1\n"
			 "0 arrive g c=1 = send c1\n"
			 "0 arrive h c=1 = send c1\n"
			 "0 arrive i c=1 = refuse limit 100 not-run\n"
			 "0 arrive j c=0 = send c1\n" },
	{ "refused-uses-no-other-limit",
	  "0 profile tenant_rate=10 tenant_burst=1 class1_rate=20\n"
	  "0 copy c1 19\n"
	  "0 arrive a t=t1 c=0 = send c1\n"
	  "0 arrive b t=t2 c=1 = send c1\n"
	  "0 arrive c t=t3 c=1 = send c1\n"
	  "0 arrive d t=t4 c=1 = send c1\n"
	  "0 arrive e t=t5 c=1 = send c1\n"
	  "0 arrive f t=t6 c=1 = send c1\n"
	  "0 arrive g t=t7 c=1 = send c1\n"
	  "0 arrive h t=t8 c=1 = send c1\n"
	  "0 arrive i t=t1 c=1 = refuse limit 100 not-run\n"
	  "0 arrive j t=t9 c=1 = send c1\n"
	  "0 arrive k t=t10 c=1 = refuse limit 50 not-run\n" },

	/* Retries. */
	{ "retry-goes-to-another-copy", "0 copy c1 1\n0 copy c2 1\n"
					"0 arrive a idem = send c1\n"
					"1 end a error = wait\n"
					"1 next = a c2\n" },
	{ "retry-waits-for-another", "0 copy c1 1\n0 copy c2 1\n"
				     "0 arrive a idem = send c1\n"
				     "0 arrive b = send c2\n"
				     "1 end a error = wait\n"
				     "1 next = none\n"
				     "1 arrive c = wait\n"
				     "1 next = c c1\n"
				     "2 end b ok = respond\n"
				     "2 next = a c2\n" },
	{ "retry-at-only-copy", "0 copy c1 1\n0 arrive a idem = send c1\n"
				"1 end a error = wait\n1 next = a c1\n" },
	{ "shed-is-not-run", "0 copy c1 1\n0 copy c2 1\n"
			     "0 arrive a = send c1\n1 end a shed = wait\n"
			     "1 next = a c2\n" },
	{ "connect-is-not-run", "0 copy c1 1\n0 copy c2 1\n"
				"0 arrive a noretry = send c1\n"
				"1 end a connect = wait\n1 next = a c2\n" },
	/* The only copy sheds every call. It gets no calls for 30 ms after the
	 * first, and twice as long after each further one. */
	{ "shed-until-too-late-is-refused-at-once",
	  "0 profile attempts=9\n0 copy c1 1\n"
	  "0 arrive a d=80 = send c1\n1 end a shed = wait\n"
	  "2 expire = none\n31 next = a c1\n32 end a shed = wait\n"
	  "32 expire = a no-copy not-run\n" },
	{ "shed-and-no-retry", "0 copy c1 1\n0 copy c2 1\n"
			       "0 arrive a idem noretry = send c1\n"
			       "1 end a shed = respond\n" },
	{ "no-retry-mark", "0 copy c1 1\n0 copy c2 1\n"
			   "0 arrive a idem noretry = send c1\n"
			   "1 end a error = respond\n"
			   "1 arrive b idem noretry = send c1\n"
			   "2 end b cut = respond\n" },
	{ "not-idempotent-runs-once", "0 copy c1 1\n0 copy c2 1\n"
				      "0 arrive a = send c1\n"
				      "1 end a cut = respond\n"
				      "1 arrive b = send c1\n"
				      "2 end b error = respond\n"
				      "2 arrive c = send c1\n"
				      "3 end c deadline = respond\n" },
	{ "attempts-max", "0 profile attempts=2\n0 copy c1 1\n0 copy c2 1\n"
			  "0 arrive a idem = send c1\n1 end a cut = wait\n"
			  "1 next = a c2\n2 end a cut = respond\n" },
	{ "retry-budget", "0 copy c1 9\n"
			  "0 arrive a idem = send c1\n1 end a error = wait\n"
			  "1 next = a c1\n2 end a error = wait\n"
			  "2 next = a c1\n3 end a error = respond\n"
			  "3 arrive b idem = send c1\n4 end b error = wait\n"
			  "4 next = b c1\n5 end b error = respond\n" },
	{ "no-retries-at-zero-percent", "0 profile retry=0\n"
					"0 copy c1 1\n0 copy c2 1\n"
					"0 arrive a idem = send c1\n"
					"1 end a error = respond\n" },
	{ "retry-past-deadline", "0 copy c1 1\n0 copy c2 1\n"
				 "0 arrive a idem d=10 = send c1\n"
				 "10 end a cut = respond\n" },
	{ "waiting-retry-may-have-run", "0 copy c1 1\n0 copy c2 1 limit=0\n"
					"0 arrive a idem d=20 = send c1\n"
					"1 limit c1 0\n1 end a cut = wait\n"
					"20 expire = "
					"a deadline may-have-run\n" },

	{ "waiting-without-copies", "0 copy c1 1\n0 arrive x = send c1\n"
				    "0 arrive a = wait\n1 drain c1\n"
				    "1 expire = a no-copy not-run\n" },
	{ "waiting-while-limits-are-zero", "0 copy c1 1 limit=0\n"
					   "0 arrive a d=10 = wait\n"
					   "9 expire = none\n"
					   "10 expire = a no-copy not-run\n" },
	{ "waiting-after-a-refused-connect",
	  "0 copy c1 1\n0 arrive a d=10 = send c1\n1 end a connect = wait\n"
	  "10 expire = a no-copy not-run\n" },

	/* Slow or failing copies. "run COPY MS RESULT N" makes N sends. */
	{ "straggler-by-responses", "0 copy c1 2\n0 copy c2 2\n0 copy c3 2\n"
				    "0 warm 10 10\n200 state c1 = healthy\n"
				    "200 run c1 50 ok 7\n900 state c1 = slow\n"
				    "900 available = 4\n" },
	{ "straggler-before-it-responds", "0 copy c1 2\n0 copy c2 2\n"
					  "0 copy c3 2\n0 warm 10 10\n"
					  "200 arrive a = send c1\n"
					  "200 arrive b = send c2\n"
					  "200 arrive c = send c3\n"
					  "200 arrive d = send c1\n"
					  "210 end b ok = respond\n"
					  "210 end c ok = respond\n"
					  "220 state c1 = healthy\n"
					  "400 state c1 = slow\n"
					  "400 state c2 = healthy\n" },
	{ "straggler-by-canceled-calls", "0 copy c1 1\n0 copy c2 1\n"
					 "0 copy c3 1\n0 warm 10 10\n"
					 "200 run c1 60 cancel 2\n"
					 "400 state c1 = slow\n"
					 "400 arrive a idem = send c1\n"
					 "430 end a cancel = respond\n"
					 "430 arrive b idem = send c2\n"
					 "490 arrive c idem = send c1\n" },
	{ "straggler-is-last-resort", "0 copy c1 2\n0 copy c2 1\n"
				      "0 copy c3 1\n0 warm 10 10\n"
				      "200 run c1 50 ok 6\n"
				      "600 arrive a = send c2\n"
				      "600 arrive b = send c3\n"
				      "600 arrive c = wait\n600 next = none\n"
				      "600 many 20 q\n600 next = c c1\n" },
	{ "straggler-probed-by-idempotent", "0 copy c1 1\n0 copy c2 1\n"
					    "0 copy c3 1\n0 warm 10 10\n"
					    "200 run c1 60 ok 12\n"
					    "9900 state c1 = slow\n"
					    "9900 arrive a = send c2\n"
					    "9900 arrive b idem = send c1\n"
					    "9910 end b ok = respond\n"
					    "9910 state c1 = healthy\n" },
	{ "all-equally-slow", "0 copy c1 1\n0 copy c2 1\n0 warm 10 10\n"
			      "200 warm 20 100\n2300 state c1 = healthy\n"
			      "2300 state c2 = healthy\n" },
	{ "fast-failures-attract-no-calls", "0 copy c1 1\n0 copy c2 1\n"
					    "0 copy c3 1\n0 warm 10 10\n"
					    "200 run c1 1 error 2\n"
					    "202 state c1 = paused\n"
					    "202 arrive a = send c2\n"
					    "203 run c1 1 error 1\n"
					    "204 state c1 = ejected\n" },
	{ "equal-errors-eject-no-copy", "0 copy c1 1\n0 copy c2 1\n"
					"0 copy c3 1\n0 warm 10 10\n"
					"200 run_each 1 error 8\n"
					"300 state c1 = healthy\n"
					"300 state c2 = healthy\n"
					"300 state c3 = healthy\n" },
	{ "equal-errors-readmit",
	  "0 copy c1 1\n0 copy c2 1\n0 copy c3 1\n"
	  "0 warm 10 10\n200 run c1 1 error 4\n"
	  "210 state c1 = ejected\n"
	  "210 health_events = c1=ejected\n"
	  "210 run_each 1 error 8\n"
	  "300 state c1 = healthy\n"
	  "300 health_events = c1=ejected,c1=readmitted\n" },
	{ "pause-is-not-reported",
	  "0 copy c1 1\n0 copy c2 1\n"
	  "0 run c1 1 connect 1\n"
	  "1 state c1 = paused\n1 health_events = none\n" },
	{ "incomplete-responses-eject",
	  "0 copy c1 1\n0 copy c2 1\n0 copy c3 1\n"
	  "0 warm 10 10\n200 run c1 10 cut 4\n"
	  "300 state c1 = ejected\n" },
	{ "last-copy-is-not-ejected", "0 copy c1 1\n0 run c1 1 connect 5\n"
				      "20000 state c1 = healthy\n" },
	{ "eject-percent", "0 profile eject=30\n0 copy c1 1\n0 copy c2 1\n"
			   "0 copy c3 1\n0 copy c4 1\n"
			   "0 run c1 1 connect 2\n0 run c2 1 connect 2\n"
			   "9 state c1 = ejected\n9 state c2 = paused\n" },
	{ "connect-failures-back-off", "0 copy c1 1\n0 copy c2 1\n"
				       "0 run c1 1 connect 1\n"
				       "1 state c1 = paused\n"
				       "40 state c1 = healthy\n"
				       "40 run c1 1 connect 1\n"
				       "41 state c1 = ejected\n"
				       "41 arrive a = send c2\n"
				       "41 arrive b = wait\n"
				       "90 next = none\n102 next = b c1\n" },
	{ "probation-by-idempotent-only", "0 copy c1 1\n0 copy c2 1\n"
					  "0 copy c3 1\n0 warm 10 10\n"
					  "200 run c1 10 cut 4\n"
					  "9000 arrive a = send c2\n"
					  "9000 arrive b idem = send c1\n"
					  "9000 arrive c idem = send c3\n" },
	{ "readmitted-copy-ramps-up",
	  "0 copy c1 4\n0 copy c2 4\n0 copy c3 4\n"
	  "0 warm 10 10\n200 run c1 10 cut 4\n"
	  "9000 arrive a idem = send c1\n"
	  "9010 end a ok = respond\n9010 credits c1 = 1\n"
	  "9010 run c1 10 ok 2\n9040 credits c1 = 2\n"
	  "9040 run c1 10 ok 8\n9200 credits c1 = 4\n" },
	{ "failed-probation-waits-longer", "0 copy c1 1\n0 copy c2 1\n"
					   "0 warm 10 10\n"
					   "200 run c1 10 cut 4\n"
					   "300 arrive a idem = send c1\n"
					   "300 end a cut = wait\n"
					   "300 next = a c2\n"
					   "340 arrive b idem = wait\n"
					   "419 next = none\n"
					   "420 next = b c1\n" },
	{ "slow-start", "0 copy c1 4\n0 slow_start c1 5000\n0 credits c1 = 1\n"
			"0 run c1 10 ok 2\n20 credits c1 = 2\n"
			"20 slow_start c1 5000\n20 credits c1 = 2\n"
			"5000 credits c1 = 4\n5001 slow_start c1 6000\n"
			"5001 credits c1 = 1\n" },

	/* Credits. */
	{ "pipeline-follows-round-trip", "0 profile pipeline=4\n0 copy c1 4\n"
					 "0 credits c1 = 5\n"
					 "0 run c1 10 ok 5\n"
					 "50 connects c1 3 1\n"
					 "50 credits c1 = 5\n"
					 "50 copy c2 4\n50 connects c2 3 5\n"
					 "50 credits c2 = 6\n"
					 "50 copy c3 4\n50 connects c3 3 90\n"
					 "50 credits c3 = 8\n" },
	{ "slow-connects-are-no-round-trip", "0 profile pipeline=4\n"
					     "0 copy c1 4\n"
					     "0 run c1 10 ok 5\n"
					     "50 connects c1 2 90\n"
					     "50 credits c1 = 5\n"
					     "50 connects c1 1 1\n"
					     "50 credits c1 = 5\n"
					     "50 connects c1 1 90\n"
					     "50 credits c1 = 5\n"
					     "50 connects c1 60 5\n"
					     "50 credits c1 = 6\n" },
	{ "no-pipeline-when-it-sheds", "0 profile pipeline=2 retry=0\n"
				       "0 copy c1 2\n0 credits c1 = 3\n"
				       "0 many 3 q\n0 end q2 shed = respond\n"
				       "0 credits c1 = 2\n"
				       "9999 credits c1 = 2\n"
				       "10000 credits c1 = 3\n" },
	{ "fewer-than-slots-when-it-sheds", "0 profile retry=0\n"
					    "0 copy c1 4\n0 many 3 q\n"
					    "0 end q2 shed = respond\n"
					    "0 credits c1 = 2\n"
					    "0 run c1 1 ok 16\n"
					    "16 credits c1 = 2\n"
					    "16 run c1 1 ok 40\n"
					    "90 credits c1 = 4\n" },
	{ "straggler-has-no-pipeline", "0 profile pipeline=1\n0 copy c1 2\n"
				       "0 copy c2 2\n0 copy c3 2\n"
				       "0 warm 10 10\n200 run c1 60 ok 5\n"
				       "900 credits c1 = 2\n"
				       "900 credits c2 = 3\n" },

	/* The baseline policies choose a copy without regard to credits. */
	{ "baseline-least", "0 policy least\n0 copy c1 1\n0 copy c2 1\n"
			    "0 drain c2\n0 arrive a = send c1\n"
			    "0 arrive b = send c1\n" },
	{ "baseline-random", "0 policy random\n0 copy c1 1\n0 copy c2 1\n"
			     "0 drain c1\n0 arrive a = send c2\n"
			     "0 arrive b = send c2\n" },
	{ "baseline-two-choices", "0 policy two-choices\n0 copy c1 1\n"
				  "0 copy c2 1\n0 run c1 1 ok 1\n"
				  "0 many 4 q\n1 outstanding c1 = 2\n"
				  "1 outstanding c2 = 2\n" },

	/* Calls to and from sibling entries. */
	{ "take-most-urgent", "0 copy c1 1\n0 arrive x = send c1\n"
			      "0 arrive a d=300 = wait\n"
			      "0 arrive h from_sibling d=100 = wait\n"
			      "0 arrive b d=200 = wait\n"
			      "0 take = b\n0 take = a\n0 take = none\n"
			      "0 waiting = 1\n" },
	{ "reserve", "0 copy c1 3\n0 available = 3\n0 reserve 2 50 = 2\n"
		     "0 available = 1\n0 arrive a = send c1\n"
		     "0 arrive b = wait\n0 next = none\n"
		     "1 arrive h from_sibling = send c1\n"
		     "1 next = none\n50 next = b c1\n" },
	{ "reserve-no-more-than-free", "0 copy c1 2\n0 reserve 5 50 = 2\n"
				       "0 reserve 1 50 = 0\n"
				       "50 available = 2\n" },

	/* Hedges. */
	{ "hedge", "0 profile hedge=20\n0 copy c1 1\n0 copy c2 1\n"
		   "0 arrive a idem = send c1\n19 hedge = none\n"
		   "20 hedge = a c2\n20 hedge = none\n"
		   "25 end a ok = respond\n25 hedge_end a cancel = wait\n"
		   "25 available = 2\n" },
	{ "hedge-shows-a-straggler", "0 profile hedge=20\n"
				     "0 copy c1 1\n0 copy c2 1\n"
				     "0 arrive a idem = send c1\n"
				     "20 hedge = a c2\n"
				     "22 hedge_end a ok = respond\n"
				     "22 end a cancel = respond\n"
				     "22 available = 1\n" },
	{ "hedge-outlives-first-send", "0 profile hedge=20\n"
				       "0 copy c1 1\n0 copy c2 1\n"
				       "0 arrive a idem = send c1\n"
				       "20 hedge = a c2\n"
				       "25 end a cut = wait\n25 next = none\n"
				       "30 end a ok = respond\n" },
	{ "no-send-after-the-response-has-begun",
	  "0 profile hedge=20\n"
	  "0 copy c1 1\n0 copy c2 1\n"
	  "0 arrive a idem = send c1\n"
	  "20 hedge = a c2\n"
	  "22 responding a\n"
	  "25 end a cut = respond\n25 next = none\n"
	  "30 hedge_end a ok = respond\n30 available = 2\n"
	  "31 arrive b idem = send c1\n"
	  "32 responding b\n"
	  "33 end b cut = respond\n33 next = none\n" },
	{ "hedge-due", "0 hedge_due = never\n0 profile hedge=20\n"
		       "0 copy c1 1\n0 copy c2 1\n5 hedge_due = 25\n"
		       "5 arrive a = send c1\n"
		       "7 arrive b idem = send c2\n8 hedge_due = 27\n"
		       "30 hedge_due = 27\n31 end b ok = respond\n"
		       "31 hedge_due = 51\n31 end a ok = respond\n" },
	{ "no-hedge-without-credit", "0 profile hedge=20\n"
				     "0 copy c1 1\n0 copy c2 1\n"
				     "0 arrive a idem = send c1\n"
				     "0 arrive b = send c2\n"
				     "30 hedge = none\n" },
	{ "no-hedge-not-idempotent", "0 profile hedge=20\n"
				     "0 copy c1 1\n0 copy c2 1\n"
				     "0 arrive a = send c1\n"
				     "30 hedge = none\n" },
};

static entry_result_t script_result(const char *word)
{
	entry_result_t result;

	for (result = ENTRY_RESULT_OK; result <= ENTRY_RESULT_CANCEL; result++)
		if (!strcmp(word, entry_result_name(result)))
			return result;
	g_error("unknown result %s", word);
}

static unsigned script_option(char **words, const char *key, unsigned value)
{
	size_t length = strlen(key);

	for (; *words; words++)
		if (!strncmp(*words, key, length) && (*words)[length] == '=')
			return strtoul(*words + length + 1, NULL, 10);
	return value;
}

static bool script_flag(char **words, const char *key)
{
	return g_strv_contains((const char *const *)words, key);
}

static script_call_t *script_find(script_t *script, const char *name)
{
	unsigned i;

	for (i = 0; i < script->call_count; i++)
		if (!strcmp(script->calls[i].name, name))
			return &script->calls[i];
	g_assert_cmpuint(script->call_count, <, CALLS_MAX);
	g_strlcpy(script->calls[i].name, name, sizeof(script->calls[i].name));
	script->call_count++;
	return &script->calls[i];
}

static const char *script_name(const entry_call_t *call)
{
	return ((const script_call_t *)((const char *)call -
					offsetof(script_call_t, call)))
		->name;
}

static char *script_decision(const entry_call_t *call,
			     entry_decision_t decision)
{
	switch (decision.verdict) {
	case ENTRY_SEND:
		return g_strdup_printf("send %s", call->copy->name);
	case ENTRY_WAIT:
		return g_strdup("wait");
	case ENTRY_RESPOND:
		return g_strdup("respond");
	case ENTRY_REFUSE:
		break;
	}
	return g_strdup_printf("refuse %s %lld %s",
			       entry_refusal_name(decision.refusal),
			       (long long)(decision.retry_after / USEC_PER_MS),
			       entry_outcome_name(call->outcome));
}

static entry_decision_t script_arrive(script_t *script, entry_call_t *call,
				      char **words)
{
	unsigned i;

	g_strlcpy(call->tenant, "none", sizeof(call->tenant));
	for (i = 0; words[i]; i++)
		if (g_str_has_prefix(words[i], "t="))
			g_strlcpy(call->tenant, words[i] + 2,
				  sizeof(call->tenant));
	call->priority = script_option(words, "p", 0);
	call->class_index = script_option(words, "c", 0);
	call->arrived = script->now;
	call->deadline = script->now +
			 script_option(words, "d", 1000) * USEC_PER_MS;
	call->idempotent = script_flag(words, "idem");
	call->no_retry = script_flag(words, "noretry");
	call->from_sibling = script_flag(words, "from_sibling");
	return entry_service_arrive(&script->svc, call, script->now);
}

static void script_copy(script_t *script, char **words)
{
	entry_copy_t *copy = entry_service_copy_add(&script->svc, words[2],
						    script->now);

	copy->slots = strtoul(words[3], NULL, 10);
	copy->connections = script_option(words, "connections", 100);
	copy->limit = script_option(words, "limit", copy->slots);
	if (script->profile.pipeline_max > 0)
		copy->limit = script_option(words, "limit", 100);
}

static void script_profile(script_t *script, char **words)
{
	config_profile_t *profile = &script->profile;

	profile->queue_max = script_option(words, "queue", profile->queue_max);
	profile->attempts_max = script_option(words, "attempts",
					      profile->attempts_max);
	profile->retry_percent = script_option(words, "retry",
					       profile->retry_percent);
	profile->eject_percent = script_option(words, "eject",
					       profile->eject_percent);
	profile->hedge_after_ms = script_option(words, "hedge", 0);
	profile->tenant_rate = script_option(words, "tenant_rate", 0);
	profile->tenant_burst = script_option(words, "tenant_burst", 0);
	profile->pipeline_max = script_option(words, "pipeline", 0);
	script->classes[1].rate = script_option(words, "class1_rate", 0);
}

/* In each round, use all credits and end all calls with success after @took. */
static void script_warm(script_t *script, unsigned rounds, usec_t took)
{
	entry_call_t calls[CALLS_MAX];
	char *words[] = { NULL };
	unsigned count;

	while (rounds-- > 0) {
		memset(calls, 0, sizeof(calls));
		for (count = 0;
		     entry_reserve_available(&script->svc, script->now);
		     count++)
			script_arrive(script, &calls[count], words);
		script->now += took;
		while (count-- > 0)
			entry_service_end(&script->svc, &calls[count],
					  ENTRY_RESULT_OK, script->now);
	}
}

/* Send one call to a named copy and end it after @took. */
static void script_run_call(script_t *script, const char *name, usec_t took,
			    entry_result_t result)
{
	entry_service_t *svc = &script->svc;
	entry_copy_t *copy = entry_service_copy_find(svc, name);
	entry_copy_t *two[2] = { copy, copy };
	const unsigned loads[2] = { 0, 0 };
	entry_call_t call = { .idempotent = false };

	call.arrived = script->now;
	call.deadline = script->now + USEC_PER_SEC;
	entry_service_send_less_loaded(svc, &call, two, loads, script->now);
	script->now += took;
	call.not_replayable = true;
	entry_service_end(svc, &call, result, script->now);
}

/* Send one call to each copy. */
static void script_run_each(script_t *script, char **words)
{
	entry_copy_t *copy;

	cds_list_for_each_entry (copy, &script->svc.copies, link)
		script_run_call(script, copy->name,
				strtoul(words[2], NULL, 10) * USEC_PER_MS,
				script_result(words[3]));
}

static void script_connects(entry_copy_t *copy, unsigned count, usec_t took)
{
	for (; count; count--)
		entry_service_on_connect(copy, took);
}

/* Run a command that sets up the state; return false for other commands. */
static bool script_setup(script_t *script, char **words)
{
	entry_service_t *svc = &script->svc;
	const char *command = words[1];
	char name[16];
	unsigned i;

	if (!strcmp(command, "copy")) {
		script_copy(script, words);
	} else if (!strcmp(command, "profile")) {
		script_profile(script, words);
	} else if (!strcmp(command, "drain")) {
		entry_service_copy_find(svc, words[2])->draining = true;
	} else if (!strcmp(command, "limit")) {
		entry_copy_t *copy = entry_service_copy_find(svc, words[2]);

		copy->limit = strtoul(words[3], NULL, 10);
		copy->slots = copy->limit;
	} else if (!strcmp(command, "slow_start")) {
		entry_service_slow_start(entry_service_copy_find(svc, words[2]),
					 strtoul(words[3], NULL, 10) *
						 USEC_PER_MS,
					 script->now);
	} else if (!strcmp(command, "connects")) {
		script_connects(entry_service_copy_find(svc, words[2]),
				strtoul(words[3], NULL, 10),
				strtoul(words[4], NULL, 10) * USEC_PER_MS);
	} else if (!strcmp(command, "policy")) {
		g_assert_true(entry_policy_parse(words[2], &svc->policy));
	} else if (!strcmp(command, "share")) {
		entry_service_set_limits(svc, strtoul(words[2], NULL, 10),
					 g_ascii_strtod(words[3], NULL));
	} else if (!strcmp(command, "cancel")) {
		entry_service_cancel(svc, &script_find(script, words[2])->call);
	} else if (!strcmp(command, "responding")) {
		script_find(script, words[2])->call.responding = true;
	} else if (!strcmp(command, "warm")) {
		script_warm(script, strtoul(words[2], NULL, 10),
			    strtoul(words[3], NULL, 10) * USEC_PER_MS);
	} else if (!strcmp(command, "run")) {
		for (i = strtoul(words[5], NULL, 10); i > 0; i--)
			script_run_call(script, words[2],
					strtoul(words[3], NULL, 10) *
						USEC_PER_MS,
					script_result(words[4]));
	} else if (!strcmp(command, "run_each")) {
		for (i = strtoul(words[4], NULL, 10); i > 0; i--)
			script_run_each(script, words);
	} else if (!strcmp(command, "dispatch")) {
		for (i = strtoul(words[2], NULL, 10); i > 0; i--)
			entry_service_next(svc, script->now);
	} else if (!strcmp(command, "many")) {
		for (i = 0; i < strtoul(words[2], NULL, 10); i++) {
			g_snprintf(name, sizeof(name), "%s%u", words[3], i);
			script_arrive(script, &script_find(script, name)->call,
				      words);
		}
	} else {
		return false;
	}
	return true;
}

static char *script_expire(script_t *script)
{
	entry_decision_t decision;
	entry_call_t *call = entry_service_expire(&script->svc, script->now,
						  &decision);

	if (!call)
		return g_strdup("none");
	return g_strdup_printf("%s %s %s", script_name(call),
			       entry_refusal_name(decision.refusal),
			       entry_outcome_name(call->outcome));
}

/* Return the health of a copy as one word. */
static char *script_state(script_t *script, const entry_copy_t *copy)
{
	if (copy->health->ejected)
		return g_strdup("ejected");
	if (script->now < copy->health->paused_until)
		return g_strdup("paused");
	if (entry_health_is_slow(&script->svc, copy, script->now))
		return g_strdup("slow");
	return g_strdup("healthy");
}

/* Run a command on a named call. */
static char *script_call_command(script_t *script, char **words)
{
	entry_service_t *svc = &script->svc;
	entry_call_t *call = &script_find(script, words[2])->call;
	entry_decision_t decision;

	if (!strcmp(words[1], "arrive"))
		decision = script_arrive(script, call, words);
	else if (!strcmp(words[1], "end"))
		decision = entry_service_end(svc, call, script_result(words[3]),
					     script->now);
	else if (!strcmp(words[1], "hedge_end"))
		decision = entry_service_hedge_end(svc, call,
						   script_result(words[3]),
						   script->now);
	else
		g_error("unknown command %s", words[1]);
	return script_decision(call, decision);
}

static char *script_hedge_due(script_t *script)
{
	usec_t due = entry_service_hedge_due(&script->svc, script->now);

	if (due == INT64_MAX)
		return g_strdup("never");
	return g_strdup_printf("%" PRId64, due / USEC_PER_MS);
}

static char *script_command(script_t *script, char **words)
{
	entry_service_t *svc = &script->svc;
	entry_call_t *call;

	if (!strcmp(words[1], "credits"))
		return g_strdup_printf(
			"%u",
			entry_credit_of(svc,
					entry_service_copy_find(svc, words[2]),
					script->now));
	if (!strcmp(words[1], "outstanding"))
		return g_strdup_printf(
			"%u",
			entry_service_copy_find(svc, words[2])->outstanding);
	if (!strcmp(words[1], "state"))
		return script_state(script,
				    entry_service_copy_find(svc, words[2]));
	if (!strcmp(words[1], "health_events"))
		return g_strdup(*script->health_events ? script->health_events :
							 "none");
	if (!strcmp(words[1], "available"))
		return g_strdup_printf("%u",
				       entry_reserve_available(svc,
							       script->now));
	if (!strcmp(words[1], "waiting"))
		return g_strdup_printf("%u", entry_service_waiting(svc));
	if (!strcmp(words[1], "reserve"))
		return g_strdup_printf(
			"%u",
			entry_reserve_add(svc, strtoul(words[2], NULL, 10),
					  strtoul(words[3], NULL, 10) *
						  USEC_PER_MS,
					  script->now));
	if (!strcmp(words[1], "expire"))
		return script_expire(script);
	if (!strcmp(words[1], "take")) {
		call = entry_service_take_for_sibling(svc, script->now);
		return g_strdup(call ? script_name(call) : "none");
	}
	if (!strcmp(words[1], "next")) {
		call = entry_service_next(svc, script->now);
		return call ? g_strdup_printf("%s %s", script_name(call),
					      call->copy->name) :
			      g_strdup("none");
	}
	if (!strcmp(words[1], "hedge_due"))
		return script_hedge_due(script);
	if (!strcmp(words[1], "hedge")) {
		call = entry_service_hedge(svc, script->now);
		return call ? g_strdup_printf("%s %s", script_name(call),
					      call->hedged_copy->name) :
			      g_strdup("none");
	}
	return script_call_command(script, words);
}

/* Run one line and append it with its result to @transcript. */
static void script_line(script_t *script, const char *line, GString *transcript)
{
	char **command_and_result = g_strsplit(line, " = ", 2);
	char **words = g_strsplit(command_and_result[0], " ", -1);
	usec_t line_time = strtoul(words[0], NULL, 10) * USEC_PER_MS;
	char *result;

	if (line_time > script->now)
		script->now = line_time;
	g_string_append(transcript, command_and_result[0]);
	if (!script_setup(script, words)) {
		result = script_command(script, words);
		g_string_append_printf(transcript, " = %s", result);
		g_free(result);
	}
	g_string_append_c(transcript, '\n');
	g_strfreev(words);
	g_strfreev(command_and_result);
}

/* Record ejections and readmissions. */
static void script_on_health(void *context, const entry_copy_t *copy,
			     bool ejected)
{
	script_t *script = context;
	size_t used = strlen(script->health_events);

	g_snprintf(script->health_events + used,
		   sizeof(script->health_events) - used, "%s%s=%s",
		   used ? "," : "", copy->name,
		   ejected ? "ejected" : "readmitted");
}

static void script_init(script_t *script)
{
	memset(script, 0, sizeof(*script));
	config_profile_set_defaults(&script->profile);
	script->profile.pipeline_max = 0;
	script->profile.classes.classes_val = script->classes;
	script->profile.classes.classes_len = G_N_ELEMENTS(script->classes);
	entry_service_init(&script->svc, ENTRY_POLICY_OWNER, &script->profile,
			   1);
	script->svc.on_health = script_on_health;
	script->svc.context = script;
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

int main(int argc, char **argv)
{
	char path[64];
	size_t i;

	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_snprintf(path, sizeof(path), "/entry/%s", cases[i].name);
		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_script);
	}
	return g_test_run();
}
