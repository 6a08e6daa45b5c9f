#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "entry-io.h"

entry_conn_pool_t *entry_conn_pool_new(const char *address, unsigned idle_max)
{
	entry_conn_pool_t *place = calloc(1, sizeof(*place));

	if (!place)
		return NULL;
	strncpy(place->address, address, sizeof(place->address) - 1);
	pthread_mutex_init(&place->lock, NULL);
	CDS_INIT_LIST_HEAD(&place->idle);
	place->idle_max = idle_max;
	place->refs = 1;
	return place;
}

static void place_link_free(entry_link_t *link)
{
	if (link->easy)
		curl_easy_cleanup(link->easy);
	if (link->multi)
		curl_multi_cleanup(link->multi);
	if (link->spare >= 0)
		close(link->spare);
	free(link);
}

void entry_place_ref(entry_conn_pool_t *place)
{
	__atomic_fetch_add(&place->refs, 1, __ATOMIC_RELAXED);
}

void entry_conn_pool_unref(entry_conn_pool_t *place)
{
	entry_link_t *link;
	entry_link_t *next;
	unsigned i;

	if (__atomic_sub_fetch(&place->refs, 1, __ATOMIC_ACQ_REL))
		return;
	cds_list_for_each_entry_safe (link, next, &place->idle, link)
		place_link_free(link);
	for (i = 0; i < place->spare_count; i++)
		close(place->spares[i]);
	pthread_mutex_destroy(&place->lock);
	free(place);
}

static entry_link_t *place_link_new(void)
{
	entry_link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->spare = -1;
	link->multi = curl_multi_init();
	link->easy = curl_easy_init();
	if (!link->multi || !link->easy) {
		place_link_free(link);
		return NULL;
	}
	curl_multi_setopt(link->multi, CURLMOPT_MAXCONNECTS, 1L);
	return link;
}

/* Whether a socket opened ahead is connected and still open at the far end. */
static bool place_spare_usable(int fd)
{
	struct pollfd p = { fd, POLLOUT | POLLIN | POLLRDHUP, 0 };

	return poll(&p, 1, 0) == 1 && p.revents == POLLOUT;
}

/* Whether it is still being connected. */
static bool place_spare_pending(int fd)
{
	struct pollfd p = { fd, POLLOUT | POLLIN | POLLRDHUP, 0 };

	return poll(&p, 1, 0) == 0;
}

/* Take a usable spare; drop the dead ones, keep those still connecting. */
static int place_take_spare(entry_conn_pool_t *place)
{
	unsigned i = 0;

	while (i < place->spare_count) {
		int fd = place->spares[i];

		if (place_spare_pending(fd)) {
			i++;
			continue;
		}
		place->spares[i] = place->spares[--place->spare_count];
		if (place_spare_usable(fd))
			return fd;
		close(fd);
	}
	return -1;
}

entry_link_t *entry_place_get(entry_conn_pool_t *place, bool fresh)
{
	entry_link_t *link = NULL;
	int spare = -1;

	pthread_mutex_lock(&place->lock);
	if (!cds_list_empty(&place->idle)) {
		link = cds_list_first_entry(&place->idle, entry_link_t, link);
		cds_list_del(&link->link);
		place->idle_count--;
	}
	if (fresh)
		spare = place_take_spare(place);
	pthread_mutex_unlock(&place->lock);
	if (!link)
		link = place_link_new();
	if (!link) {
		if (spare >= 0)
			close(spare);
		return NULL;
	}
	link->spare = spare;
	return link;
}

void entry_place_put(entry_conn_pool_t *place, entry_link_t *link, bool keep)
{
	if (link->spare >= 0) {
		close(link->spare);
		link->spare = -1;
	}
	if (!keep) {
		place_link_free(link);
		return;
	}
	pthread_mutex_lock(&place->lock);
	if (place->idle_count < place->idle_max) {
		cds_list_add(&link->link, &place->idle);
		place->idle_count++;
		link = NULL;
	}
	pthread_mutex_unlock(&place->lock);
	if (link)
		place_link_free(link);
}

static int place_connect(const char *address)
{
	struct sockaddr_storage storage;
	unsigned length;
	int fd;

	if (hl_address_parse(address, &storage, &length))
		return -1;
	fd = socket(storage.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&storage, length) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

void entry_place_spare(entry_conn_pool_t *place, unsigned count)
{
	pthread_mutex_lock(&place->lock);
	while (place->spare_count < count) {
		int fd = place_connect(place->address);

		if (fd < 0)
			break;
		place->spares[place->spare_count++] = fd;
	}
	pthread_mutex_unlock(&place->lock);
}
