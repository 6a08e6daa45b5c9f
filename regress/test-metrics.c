#include <glib.h>
#include <string.h>
#include "metrics.h"

/*
 * Histograms and the text format. A wrong bucket distorts the quantiles, and a
 * malformed line makes a scraper reject all metrics.
 */

static const struct {
	usec_t value;
} values[] = {
	{ 0 },	  { 1 },     { 31 },	  { 32 },      { 33 },
	{ 1000 }, { 12345 }, { 1000000 }, { 7777777 }, { 3600 * USEC_PER_SEC }
};

/* A quantile is never below its value, and at most 1/32 above it. */
static void test_histogram_error(void)
{
	static metrics_histogram_t histogram;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		usec_t edge;

		memset(&histogram, 0, sizeof(histogram));
		metrics_histogram_add(&histogram, values[i].value);
		edge = metrics_histogram_quantile(&histogram, 0.99);
		g_assert_cmpint(edge, >=, values[i].value);
		g_assert_cmpint(edge, <=,
				values[i].value + values[i].value / 32);
	}
}

static void test_histogram_quantile(void)
{
	static metrics_histogram_t histogram;
	usec_t value;

	for (value = 1; value <= 1000; value++)
		metrics_histogram_add(&histogram, value * 100);
	value = metrics_histogram_quantile(&histogram, 0.5);
	g_assert_cmpint(value, >=, 50000);
	g_assert_cmpint(value, <=, 52000);
	value = metrics_histogram_quantile(&histogram, 0.99);
	g_assert_cmpint(value, >=, 99000);
	g_assert_cmpint(value, <=, 102100);
}

static void test_exposition(void)
{
	metrics_t *metrics = metrics_new();
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	metrics_add(metrics_counter(metrics, "b_total", "x=\"1\"", "B."), 2);
	metrics_add(metrics_counter(metrics, "b_total", "x=\"1\"", "B."), 1);
	metrics_set(metrics_gauge(metrics, "a", "", "A."), 7);
	metrics_histogram_add(metrics_histogram(metrics, "h", "", "H."), 31);
	metrics_write(metrics, out);
	fclose(out);
	g_assert_cmpstr(text, ==,
			"# HELP a A.\n# TYPE a gauge\na 7\n"
			"# HELP b_total B.\n# TYPE b_total counter\n"
			"b_total{x=\"1\"} 3\n"
			"# HELP h H.\n# TYPE h histogram\n"
			"h_bucket{le=\"0.000031\"} 1\n"
			"h_bucket{le=\"+Inf\"} 1\nh_sum{} 0.000031\n"
			"h_count{} 1\n");
	free(text);
	metrics_free(metrics);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/metrics/error", test_histogram_error);
	g_test_add_func("/metrics/quantile", test_histogram_quantile);
	g_test_add_func("/metrics/exposition", test_exposition);
	return g_test_run();
}
