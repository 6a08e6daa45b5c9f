#include <sys/socket.h>
#include "entry-once.h"

bool entry_once_is_sent(CURL *easy)
{
	long bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

/* Opens no connection that could only repeat the request. */
static curl_socket_t once_open_socket(void *easy, curlsocktype purpose,
				      struct curl_sockaddr *address)
{
	(void)purpose;
	if (entry_once_is_sent(easy))
		return CURL_SOCKET_BAD;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
		      address->protocol);
}

/* Called before each request, also over a connection that is open already. */
static int once_before_request(void *easy, char *remote_ip, char *local_ip,
			       int remote_port, int local_port)
{
	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	return entry_once_is_sent(easy) ? CURL_PREREQFUNC_ABORT :
					  CURL_PREREQFUNC_OK;
}

void entry_once_set(CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, once_open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, easy);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, once_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, easy);
}
