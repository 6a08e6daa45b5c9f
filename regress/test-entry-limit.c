#include <glib.h>
#include <math.h>
#include <string.h>
#include "entry-decide.h"

/*
 * Admission of Poisson arrivals by the limits of service, class and tenant, at
 * the rates and shares of a table. Guards against a burst that is too small,
 * which refuses calls at half of the rate, and against a limiter that lets more
 * than its rate pass in overload.
 */

#define WINDOW (10 * USEC_PER_SEC)
#define WINDOWS 100
/* At half of the rate: number of arrivals, and maximum number of refusals. */
#define HALF_CALLS 100000
#define HALF_REFUSED_MAX 100
/* At twice the rate: maximum relative error of the admitted rate. */
#define OVERLOAD_ERROR_MAX 0.05
/* The burst documented in docs/design/decide.md. */
#define BURST_CALLS 8
#define BURST_SECONDS 0.4

typedef enum { LIMIT_SERVICE, LIMIT_CLASS, LIMIT_TENANT } limit_kind_t;

typedef struct {
	limit_kind_t kind;
	unsigned rate; /* calls per second over all entries */
	double share;
} row_t;

static const row_t rows[] = {
	{ LIMIT_SERVICE, 5, 1 },     { LIMIT_SERVICE, 5, 0.25 },
	{ LIMIT_SERVICE, 20, 1 },    { LIMIT_SERVICE, 20, 1.0 / 3 },
	{ LIMIT_SERVICE, 200, 1 },   { LIMIT_SERVICE, 200, 1.0 / 3 },
	{ LIMIT_SERVICE, 200, 0.1 }, { LIMIT_SERVICE, 5000, 0.25 },
	{ LIMIT_CLASS, 5, 1 },	     { LIMIT_CLASS, 200, 0.25 },
	{ LIMIT_TENANT, 5, 1 },	     { LIMIT_TENANT, 200, 0.25 },
};

/* The limiter of one entry and the source of its calls. */
typedef struct {
	struct entry_limit *limit;
	config_profile_t profile;
	config_class_t class;
	entry_call_t call;
	GRand *generator;
	double now;  /* microseconds */
	double rate; /* calls per second of this entry's share */
} limiter_t;

static void limiter_init(limiter_t *limiter, const row_t *row, unsigned seed)
{
	memset(limiter, 0, sizeof(*limiter));
	limiter->limit = entry_limit_new();
	limiter->generator = g_rand_new_with_seed(seed);
	limiter->rate = row->rate * row->share;
	g_strlcpy(limiter->call.tenant, "t", sizeof(limiter->call.tenant));
	entry_limit_set(limiter->limit,
			row->kind == LIMIT_SERVICE ? row->rate : 0, row->share);
	if (row->kind == LIMIT_TENANT)
		limiter->profile.tenant_rate = row->rate;
	if (row->kind != LIMIT_CLASS)
		return;
	limiter->class.rate = row->rate;
	limiter->profile.classes.classes_len = 1;
	limiter->profile.classes.classes_val = &limiter->class;
}

static void limiter_clear(limiter_t *limiter)
{
	entry_limit_free(limiter->limit);
	g_rand_free(limiter->generator);
}

/* Draw the next Poisson arrival at @load times the rate; true if admitted. */
static bool limiter_arrive(limiter_t *limiter, double load)
{
	double uniform = 1 - g_rand_double(limiter->generator);
	usec_t wait;

	limiter->now += -log(uniform) * USEC_PER_SEC / (limiter->rate * load);
	return entry_limit_admit(limiter->limit, &limiter->profile,
				 &limiter->call, (usec_t)limiter->now, &wait);
}

/* Number of calls admitted until @end. */
static unsigned limiter_run(limiter_t *limiter, double load, double end)
{
	unsigned admitted = 0;

	while (limiter->now < end)
		admitted += limiter_arrive(limiter, load);
	return admitted;
}

/* At half of the rate practically no call is refused. */
static void test_half_rate(gconstpointer context)
{
	limiter_t limiter;
	unsigned refused = 0;
	unsigned i;

	limiter_init(&limiter, context, 1);
	for (i = 0; i < HALF_CALLS; i++)
		refused += !limiter_arrive(&limiter, 0.5);
	g_test_message("%u of %u refused", refused, HALF_CALLS);
	g_assert_cmpuint(refused, <=, HALF_REFUSED_MAX);
	limiter_clear(&limiter);
}

/* In sustained overload the mean admitted rate is the limit. */
static void test_double_rate(gconstpointer context)
{
	limiter_t limiter;
	double expected;
	unsigned admitted;

	limiter_init(&limiter, context, 2);
	limiter_run(&limiter, 2, WINDOW);
	admitted = limiter_run(&limiter, 2, (1.0 + WINDOWS) * WINDOW);
	expected = limiter.rate * WINDOWS * WINDOW / USEC_PER_SEC;
	g_assert_cmpfloat(fabs(admitted - expected), <=,
			  OVERLOAD_ERROR_MAX * expected);
	limiter_clear(&limiter);
}

/* Starting idle, no period admits more than its rate plus the burst. */
static void test_burst(gconstpointer context)
{
	limiter_t limiter;
	double burst;
	unsigned admitted = 0;

	limiter_init(&limiter, context, 3);
	burst = MAX(BURST_CALLS, BURST_SECONDS * limiter.rate);
	while (limiter.now < WINDOW) {
		admitted += limiter_arrive(&limiter, 20);
		g_assert_cmpfloat(admitted, <=,
				  burst + 1 +
					  limiter.rate * limiter.now /
						  USEC_PER_SEC);
	}
	limiter_clear(&limiter);
}

static void add_rows(const char *name, GTestDataFunc test)
{
	static const char *const kinds[] = { "service", "class", "tenant" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const row_t *row = &rows[i];
		char *path = g_strdup_printf("/entry-limit/%s/%s-%u-%.0f%%",
					     name, kinds[row->kind], row->rate,
					     row->share * 100);

		g_test_add_data_func(path, row, test);
		g_free(path);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	add_rows("half", test_half_rate);
	add_rows("double", test_double_rate);
	add_rows("burst", test_burst);
	return g_test_run();
}
