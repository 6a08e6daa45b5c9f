#include <stdlib.h>
#include "entry-io.h"

/*
 * A pool of worker threads, each of which sends one request at a time. Threads
 * are started while there are fewer idle ones than queued requests.
 */

struct entry_work {
	pthread_mutex_t lock;
	pthread_cond_t more;	    /* a request was queued, or stop is set */
	pthread_cond_t ended;	    /* a thread has ended */
	struct cds_list_head queue; /* entry_request_t.work_link */
	unsigned queued;
	unsigned idle; /* threads that wait for a request */
	unsigned threads;
	unsigned max; /* maximum number of threads */
	bool stop;
};

entry_work_t *entry_work_new(unsigned max)
{
	entry_work_t *work = calloc(1, sizeof(*work));

	if (!work)
		return NULL;
	pthread_mutex_init(&work->lock, NULL);
	pthread_cond_init(&work->more, NULL);
	pthread_cond_init(&work->ended, NULL);
	CDS_INIT_LIST_HEAD(&work->queue);
	work->max = max;
	return work;
}

/* Waits for a request and returns it; NULL when the pool is stopped. The caller
   holds work->lock. */
static entry_request_t *work_take(entry_work_t *work)
{
	entry_request_t *req;

	while (cds_list_empty(&work->queue)) {
		if (work->stop)
			return NULL;
		work->idle++;
		pthread_cond_wait(&work->more, &work->lock);
		work->idle--;
	}
	req = cds_list_first_entry(&work->queue, entry_request_t, work_link);
	cds_list_del(&req->work_link);
	work->queued--;
	return req;
}

static void *work_thread(void *context)
{
	entry_work_t *work = context;
	entry_request_t *req;

	pthread_mutex_lock(&work->lock);
	while ((req = work_take(work))) {
		pthread_mutex_unlock(&work->lock);
		entry_relay_send(req);
		pthread_mutex_lock(&work->lock);
	}
	work->threads--;
	pthread_cond_signal(&work->ended);
	pthread_mutex_unlock(&work->lock);
	return NULL;
}

/* Starts a thread if there are fewer idle threads than queued requests. The
   caller holds work->lock. */
static void work_grow(entry_work_t *work)
{
	pthread_attr_t attr;
	pthread_t thread;

	if (work->idle >= work->queued || work->threads >= work->max)
		return;
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, work_thread, work) == 0)
		work->threads++;
	else
		log_event(LOG_LEVEL_ERROR, "worker-not-started", "threads=%u",
			  work->threads);
	pthread_attr_destroy(&attr);
}

void entry_work_push(entry_work_t *work, entry_request_t *req)
{
	pthread_mutex_lock(&work->lock);
	cds_list_add_tail(&req->work_link, &work->queue);
	work->queued++;
	work_grow(work);
	pthread_cond_signal(&work->more);
	pthread_mutex_unlock(&work->lock);
}

void entry_work_free(entry_work_t *work)
{
	if (!work)
		return;
	pthread_mutex_lock(&work->lock);
	work->stop = true;
	pthread_cond_broadcast(&work->more);
	while (work->threads)
		pthread_cond_wait(&work->ended, &work->lock);
	pthread_mutex_unlock(&work->lock);
	pthread_cond_destroy(&work->more);
	pthread_cond_destroy(&work->ended);
	pthread_mutex_destroy(&work->lock);
	free(work);
}
