#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include "keeper-control.h"

#define CONTROL_BODY_MAX (4u * 1024 * 1024)
#define CONTROL_CONNECTIONS 2048u
#define CONTROL_IDLE_SECONDS 30u
#define CONTROL_CONNECTION_BYTES (8u * 1024)
#define CONTROL_RETRY_AFTER "0.2"

struct keeper_control {
	keeper_core_t *core;
	keeper_registry_t *registry;
	struct MHD_Daemon *control;
	struct MHD_Daemon *directory;
	pthread_mutex_t lock;
	struct cds_list_head waiting; /* keeper_page_t */
	bool stopping;
};

/* A page; a path that ends with a slash is followed by an id. */
static const struct {
	const char *method;
	const char *path;
	void (*handle)(keeper_page_t *page, usec_t now);
} control_pages[] = {
	{ "GET", "/v1/follow", keeper_page_follow },
	{ "GET", "/v1/routing", keeper_page_routing_read },
	{ "PUT", "/v1/routing", keeper_page_routing_write },
	{ "PATCH", "/v1/routing", keeper_page_routing_write },
	{ "PUT", "/v1/targets/", keeper_page_target_write },
	{ "DELETE", "/v1/targets/", keeper_page_target_leave },
}, directory_pages[] = {
	{ "GET", "/v1/directory", keeper_page_directory },
};

#define CONTROL_PAGES (sizeof(control_pages) / sizeof(control_pages[0]))

keeper_core_t *keeper_page_core(const keeper_page_t *page)
{
	return page->control->core;
}

keeper_registry_t *keeper_page_registry(const keeper_page_t *page)
{
	return page->control->registry;
}

static bool control_matches(const char *pattern, const char *path)
{
	size_t length = strlen(pattern);

	if (pattern[length - 1] != '/')
		return !strcmp(pattern, path);
	return !strncmp(pattern, path, length) && path[length];
}

static void control_route(keeper_page_t *page, usec_t now)
{
	bool known = false;
	size_t i;

	for (i = 0; i < CONTROL_PAGES; i++) {
		if (!control_matches(control_pages[i].path, page->path))
			continue;
		known = true;
		if (strcmp(control_pages[i].method, page->method))
			continue;
		control_pages[i].handle(page, now);
		return;
	}
	if (known)
		keeper_page_error(page, MHD_HTTP_METHOD_NOT_ALLOWED,
				  "method not allowed; see INTERFACES");
	else
		keeper_page_error(page, MHD_HTTP_NOT_FOUND,
				  "no such page; see INTERFACES for the pages");
}

static void directory_route(keeper_page_t *page, usec_t now)
{
	if (!strcmp(directory_pages[0].path, page->path) &&
	    !strcmp(directory_pages[0].method, page->method))
		directory_pages[0].handle(page, now);
	else
		keeper_page_error(page, MHD_HTTP_NOT_FOUND,
				  "no such page; see INTERFACES for the pages");
}

/* What became of a page that waits; the control's lock is held. */
static void control_look(keeper_page_t *page, usec_t now)
{
	keeper_core_t *core = page->control->core;
	keeper_verdict_t verdict;
	hl_error_t err = { 0 };

	if (page->announces)
		verdict = keeper_core_check_announcement(core, &page->target);
	else
		verdict = keeper_core_check_routing(core, &page->order, now,
						    &err);
	/* Whoever asked may find it accepted later, so that is no refusal. */
	if (verdict == KEEPER_VERDICT_NOT_LEADER ||
	    (verdict == KEEPER_VERDICT_WAIT && now >= page->deadline))
		verdict = KEEPER_VERDICT_BUSY;
	if (verdict == KEEPER_VERDICT_BUSY)
		hl_error_set(&err, HL_ERR_TIMEOUT,
			     "not on the disks of a quorum yet; ask again");
	keeper_page_verdict(page, verdict, &err);
}

void keeper_control_rounded(keeper_control_t *control)
{
	usec_t now = time_now();
	keeper_page_t *page, *next;

	pthread_mutex_lock(&control->lock);
	cds_list_for_each_entry_safe (page, next, &control->waiting, link) {
		control_look(page, now);
		if (!page->decided)
			continue;
		cds_list_del(&page->link);
		page->suspended = false;
		MHD_resume_connection(page->connection);
	}
	pthread_mutex_unlock(&control->lock);
}

static enum MHD_Result control_send(keeper_page_t *page)
{
	struct MHD_Response *response;
	enum MHD_Result result;

	if (!page->text)
		return MHD_NO;
	response = MHD_create_response_from_buffer(page->binary ?
							   page->binary :
							   strlen(page->text),
						   page->text,
						   MHD_RESPMEM_MUST_FREE);
	if (!response)
		return MHD_NO;
	page->text = NULL;
	MHD_add_response_header(response, "Content-Type",
				page->binary ? "application/octet-stream" :
					       "application/json");
	if (*page->location)
		MHD_add_response_header(response, "Location", page->location);
	if (page->retry)
		MHD_add_response_header(response, "Retry-After",
					CONTROL_RETRY_AFTER);
	result = MHD_queue_response(page->connection, page->status, response);
	MHD_destroy_response(response);
	return result;
}

/* Wait for a round that decides, unless one has meanwhile. */
static enum MHD_Result control_wait(keeper_page_t *page)
{
	keeper_control_t *control = page->control;
	bool decided;

	pthread_mutex_lock(&control->lock);
	control_look(page, time_now());
	if (control->stopping && !page->decided)
		keeper_page_error(page, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "this keeper stops; ask another one");
	decided = page->decided;
	if (!decided) {
		page->suspended = true;
		cds_list_add_tail(&page->link, &control->waiting);
		MHD_suspend_connection(page->connection);
	}
	pthread_mutex_unlock(&control->lock);
	return decided ? control_send(page) : MHD_YES;
}

/* Whether a round has decided on a page that waited. */
static bool control_decided(keeper_page_t *page)
{
	bool decided;

	pthread_mutex_lock(&page->control->lock);
	decided = page->decided;
	pthread_mutex_unlock(&page->control->lock);
	return decided;
}

static void control_take(keeper_page_t *page, const char *bytes, size_t size)
{
	size_t room = page->room ? page->room : CONTROL_CONNECTION_BYTES;
	char *grown;

	if (page->size + size > CONTROL_BODY_MAX) {
		page->oversize = true;
		return;
	}
	while (room < page->size + size)
		room *= 2;
	if (room != page->room) {
		grown = realloc(page->body, room);
		if (!grown) {
			page->oversize = true;
			return;
		}
		page->body = grown;
		page->room = room;
	}
	memcpy(page->body + page->size, bytes, size);
	page->size += size;
}

static keeper_page_t *page_new(keeper_control_t *control,
			       struct MHD_Connection *connection,
			       const char *method, const char *url)
{
	keeper_page_t *page = calloc(1, sizeof(*page));

	if (!page)
		return NULL;
	page->control = control;
	page->connection = connection;
	snprintf(page->method, sizeof(page->method), "%s", method);
	snprintf(page->path, sizeof(page->path), "%s", url);
	return page;
}

static enum MHD_Result control_handle(
	keeper_control_t *control, struct MHD_Connection *connection,
	const char *url, const char *method, const char *bytes, size_t *size,
	void **state, void (*route)(keeper_page_t *page, usec_t now))
{
	keeper_page_t *page = *state;

	if (!page) {
		*state = page_new(control, connection, method, url);
		return *state ? MHD_YES : MHD_NO;
	}
	if (*size) {
		control_take(page, bytes, *size);
		*size = 0;
		return MHD_YES;
	}
	if (control_decided(page))
		return control_send(page);
	if (page->oversize)
		keeper_page_error(page, MHD_HTTP_CONTENT_TOO_LARGE,
				  "body above %u bytes; send less",
				  CONTROL_BODY_MAX);
	else
		route(page, time_now());
	return page->decided ? control_send(page) : control_wait(page);
}

static enum MHD_Result on_control(void *context,
				  struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *protocol, const char *bytes,
				  size_t *size, void **state)
{
	(void)protocol;
	return control_handle(context, connection, url, method, bytes, size,
			      state, control_route);
}

static enum MHD_Result on_directory(void *context,
				    struct MHD_Connection *connection,
				    const char *url, const char *method,
				    const char *protocol, const char *bytes,
				    size_t *size, void **state)
{
	(void)protocol;
	return control_handle(context, connection, url, method, bytes, size,
			      state, directory_route);
}

static void on_completed(void *context, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	keeper_page_t *page = *state;

	(void)context;
	(void)connection;
	(void)code;
	if (!page)
		return;
	xdr_free((xdrproc_t)xdr_config_target_t, (char *)&page->target);
	free(page->body);
	free(page->text);
	free(page);
	*state = NULL;
}

static struct MHD_Daemon *control_listen(keeper_control_t *control,
					 const char *address,
					 MHD_AccessHandlerCallback handle,
					 hl_error_t *err)
{
	unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_ITC |
			 MHD_ALLOW_SUSPEND_RESUME;
	struct MHD_Daemon *daemon = NULL;
	struct sockaddr_storage storage;
	unsigned length;

	if (!hl_address_parse(address, &storage, &length)) {
		if (storage.ss_family == AF_INET6)
			flags |= MHD_USE_IPv6;
		daemon = MHD_start_daemon(
			flags, 0, NULL, NULL, handle, control,
			MHD_OPTION_SOCK_ADDR, &storage,
			MHD_OPTION_NOTIFY_COMPLETED, on_completed, control,
			MHD_OPTION_CONNECTION_LIMIT, CONTROL_CONNECTIONS,
			MHD_OPTION_CONNECTION_TIMEOUT, CONTROL_IDLE_SECONDS,
			MHD_OPTION_CONNECTION_MEMORY_LIMIT,
			(size_t)CONTROL_CONNECTION_BYTES,
			MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
	}
	if (!daemon)
		hl_error_set(err, HL_ERR_IO,
			     "cannot listen on %s; free the port or mend "
			     "keeper.control and keeper.directory",
			     address);
	return daemon;
}

keeper_control_t *keeper_control_new(keeper_core_t *core,
				     keeper_registry_t *registry,
				     hl_error_t *err)
{
	const keeper_settings_t *settings = &core->settings;
	keeper_control_t *control = calloc(1, sizeof(*control));

	if (!control) {
		hl_error_set(err, HL_ERR_NOMEM, "no memory; add some");
		return NULL;
	}
	control->core = core;
	control->registry = registry;
	pthread_mutex_init(&control->lock, NULL);
	CDS_INIT_LIST_HEAD(&control->waiting);
	if (*settings->control)
		control->control = control_listen(control, settings->control,
						  on_control, err);
	if (*settings->directory)
		control->directory = control_listen(control,
						    settings->directory,
						    on_directory, err);
	if ((!*settings->control || control->control) &&
	    (!*settings->directory || control->directory))
		return control;
	keeper_control_free(control);
	return NULL;
}

/* Nothing more is decided: what waits gets its answer. */
static void control_end(keeper_control_t *control)
{
	keeper_page_t *page, *next;

	pthread_mutex_lock(&control->lock);
	control->stopping = true;
	cds_list_for_each_entry_safe (page, next, &control->waiting, link) {
		keeper_page_error(page, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "this keeper stops; ask another one");
		cds_list_del(&page->link);
		page->suspended = false;
		MHD_resume_connection(page->connection);
	}
	pthread_mutex_unlock(&control->lock);
}

void keeper_control_free(keeper_control_t *control)
{
	if (!control)
		return;
	control_end(control);
	if (control->control)
		MHD_stop_daemon(control->control);
	if (control->directory)
		MHD_stop_daemon(control->directory);
	pthread_mutex_destroy(&control->lock);
	free(control);
}
