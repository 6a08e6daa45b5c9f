#include "hemlock.h"

/* The Makefile defines both; "-" is for builds without it. */
#ifndef BUILD_ID
#define BUILD_ID "-"
#define BUILD_COMMIT "-"
#endif

const char build_id_text[] = "version=" HEMLOCK_VERSION " build=" BUILD_ID
			     " commit=" BUILD_COMMIT;
