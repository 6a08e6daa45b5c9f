/*
 * kept-caller: sends two requests over one connection, the second one with a head
 * of a given size, and prints how each was answered: its status, "closed" if the
 * connection ended without a byte of an answer, "cut" after a part of one, or
 * "timeout".
 *
 * usage: kept-caller IP PORT ID METHOD PATH HEAD_BYTES FIELD
 *
 * FIELD is the name of the header that fills the head up to HEAD_BYTES, request line
 * and empty line included. The first request is a GET of PATH without it. The ids of
 * the two are ID-1 and ID-2.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define BYTES_MAX (64 * 1024)

/* Reads one response with a Content-Length. */
static const char *read_response(int fd, char *status)
{
	static char bytes[BYTES_MAX + 1];
	size_t have = 0, whole = 0;
	char *end = NULL, *field;
	ssize_t got;

	while (!whole || have < whole) {
		got = recv(fd, bytes + have, BYTES_MAX - have, 0);
		if (got < 0 && !have)
			return "timeout-or-reset";
		if (got <= 0)
			return have ? "cut" : "closed";
		have += (size_t)got;
		bytes[have] = '\0';
		end = strstr(bytes, "\r\n\r\n");
		if (!end || whole)
			continue;
		field = strcasestr(bytes, "\r\nContent-Length:");
		whole = (size_t)(end + 4 - bytes);
		if (field && field < end)
			whole += strtoul(field + strlen("\r\nContent-Length:"),
					 NULL, 10);
	}
	snprintf(status, 4, "%.3s", bytes + strlen("HTTP/1.1 "));
	return status;
}

static const char *exchange(int fd, const char *id, int number,
			    const char *method, const char *path, size_t size,
			    const char *field, char *status)
{
	char head[BYTES_MAX], fill[BYTES_MAX];
	size_t fixed;
	int length;

	length = snprintf(head, sizeof(head),
			  "%s %s HTTP/1.1\r\nHost: a.example\r\n"
			  "Request-Id: %s-%d\r\nDeadline-Ms: 2000\r\n%s",
			  method, path, id, number,
			  strcmp(method, "GET") ? "Content-Length: 0\r\n" : "");
	fixed = (size_t)length + strlen(field) + strlen(": \r\n\r\n");
	if (size > fixed) {
		memset(fill, 'a', size - fixed);
		fill[size - fixed] = '\0';
		length += snprintf(head + length, sizeof(head) - (size_t)length,
				   "%s: %s\r\n", field, fill);
	}
	length += snprintf(head + length, sizeof(head) - (size_t)length, "\r\n");
	if (send(fd, head, (size_t)length, MSG_NOSIGNAL) != length)
		return "not-sent";
	return read_response(fd, status);
}

int main(int argc, char **argv)
{
	const struct timeval timeout = { 3, 0 };
	struct sockaddr_in to = { .sin_family = AF_INET };
	char first[4], second[4];
	int fd;

	if (argc != 8)
		return 2;
	to.sin_port = htons((uint16_t)atoi(argv[2]));
	inet_pton(AF_INET, argv[1], &to.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		printf("call=%s first=not-connected\n", argv[3]);
		return 1;
	}
	printf("call=%s first=%s", argv[3],
	       exchange(fd, argv[3], 1, "GET", argv[5], 0, argv[7], first));
	printf(" second=%s head=%s field=%s\n",
	       exchange(fd, argv[3], 2, argv[4], argv[5],
			strtoul(argv[6], NULL, 10), argv[7], second),
	       argv[6], argv[7]);
	close(fd);
	return 0;
}
