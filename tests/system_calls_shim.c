/* A library that is loaded before the C library (LD_PRELOAD) and injects failures into socket system calls.
 *
 * Environment variables:
 * FAULTS       call:errno:one-in, separated by spaces. Calls: accept, socket, connect, wait, read. One call
 *              in `one-in` fails; if a call has several errnos, each failure draws one of them.
 * FAULT_PORT   peer ports, separated by spaces: reads fail only on connections to these ports.
 * FAULT_SHORT  "write": a write accepts half of its bytes; "read": a read returns at most 7 bytes.
 * FAULT_FIRST  number of initial calls that all fail, for each call that has errnos; then `one-in` applies.
 * FAULT_SEED   seed of the random draws.
 *
 * Only TCP sockets over IPv4 and the calls that wait for events are affected.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define MAX_FAULTS 32
#define MAX_PORTS 32
#define MAX_READ_BYTES 7

enum call { ACCEPT, SOCKET, CONNECT, WAIT, READ, CALL_COUNT };
static const char *const call_names[CALL_COUNT] = {"accept", "socket", "connect", "wait", "read"};

static struct { int count, one_in, errors[MAX_FAULTS]; } faults[CALL_COUNT];
static int ports[MAX_PORTS], port_count, short_writes, short_reads;
static int initial_failures_left[CALL_COUNT];
static uint64_t random_state = 88172645463325252u;

static uint64_t draw(void)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state >> 11;
}

__attribute__((constructor)) static void read_environment(void)
{
    const char *seed = getenv("FAULT_SEED"), *specs = getenv("FAULTS"), *shorts = getenv("FAULT_SHORT");
    if (seed)
        random_state += (uint64_t)atoll(seed) * 2654435761u;
    char *list = strdup(specs ? specs : ""), *rest;
    for (char *one = strtok_r(list, " ", &rest); one; one = strtok_r(NULL, " ", &rest)) {
        char name[16] = "";
        int error = 0, one_in = 0;
        char *colon = strchr(one, ':');
        if (!colon || colon - one >= (long)sizeof name)
            abort();
        memcpy(name, one, (size_t)(colon - one));
        error = atoi(colon + 1);
        one_in = atoi(strchr(colon + 1, ':') + 1);
        for (int call = 0; call < CALL_COUNT; call++)
            if (!strcmp(name, call_names[call]) && faults[call].count < MAX_FAULTS) {
                faults[call].errors[faults[call].count++] = error;
                faults[call].one_in = one_in;
            }
    }
    list = strdup(getenv("FAULT_PORT") ? getenv("FAULT_PORT") : "");
    for (char *one = strtok_r(list, " ", &rest); one && port_count < MAX_PORTS;
         one = strtok_r(NULL, " ", &rest))
        ports[port_count++] = atoi(one);
    for (int call = 0; call < CALL_COUNT; call++)
        initial_failures_left[call] = atoi(getenv("FAULT_FIRST") ? getenv("FAULT_FIRST") : "0");
    short_writes = shorts && strstr(shorts, "write") != NULL;
    short_reads = shorts && strstr(shorts, "read") != NULL;
}

/* Decides whether this call fails; sets errno if it does. */
static int should_fail(enum call call)
{
    if (!faults[call].count)
        return 0;
    if (initial_failures_left[call] > 0)
        initial_failures_left[call]--;
    else if (draw() % (uint64_t)faults[call].one_in)
        return 0;
    errno = faults[call].errors[draw() % (uint64_t)faults[call].count];
    return 1;
}

static int is_tcp(int fd)
{
    int saved = errno, kind = 0;
    struct sockaddr_storage address;
    socklen_t size = sizeof address, length = sizeof kind;
    int found = !getsockopt(fd, SOL_SOCKET, SO_TYPE, &kind, &length) && kind == SOCK_STREAM &&
                !getsockname(fd, (struct sockaddr *)&address, &size) && address.ss_family == AF_INET;
    errno = saved;
    return found;
}

static int should_fail_read(int fd)
{
    struct sockaddr_in peer;
    socklen_t size = sizeof peer;
    int saved = errno;
    if (!faults[READ].count || getpeername(fd, (struct sockaddr *)&peer, &size) || peer.sin_family != AF_INET) {
        errno = saved;
        return 0;
    }
    for (int i = 0; i < port_count; i++)
        if (ports[i] == ntohs(peer.sin_port))
            return should_fail(READ);
    return 0;
}

static size_t limit_read(int fd, size_t size)
{
    return short_reads && size > MAX_READ_BYTES && is_tcp(fd) ? MAX_READ_BYTES : size;
}

static size_t limit_write(int fd, size_t size)
{
    return short_writes && size > 1 && is_tcp(fd) ? size / 2 : size;
}

#define REAL(result, name, ...)                                      \
    static result (*real)(__VA_ARGS__);                              \
    if (!real)                                                       \
        real = (result (*)(__VA_ARGS__))dlsym(RTLD_NEXT, #name)

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    REAL(int, accept, int, struct sockaddr *, socklen_t *);
    return is_tcp(fd) && should_fail(ACCEPT) ? -1 : real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    return is_tcp(fd) && should_fail(ACCEPT) ? -1 : real(fd, address, size, flags);
}

int socket(int family, int kind, int protocol)
{
    REAL(int, socket, int, int, int);
    return family == AF_INET && should_fail(SOCKET) ? -1 : real(family, kind, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    return address->sa_family == AF_INET && should_fail(CONNECT) ? -1 : real(fd, address, size);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    REAL(int, epoll_wait, int, struct epoll_event *, int, int);
    return should_fail(WAIT) ? -1 : real(fd, events, max_events, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask)
{
    REAL(int, epoll_pwait, int, struct epoll_event *, int, int, const sigset_t *);
    return should_fail(WAIT) ? -1 : real(fd, events, max_events, timeout, mask);
}

int poll(struct pollfd *fds, nfds_t count, int timeout)
{
    REAL(int, poll, struct pollfd *, nfds_t, int);
    return should_fail(WAIT) ? -1 : real(fds, count, timeout);
}

ssize_t read(int fd, void *data, size_t size)
{
    REAL(ssize_t, read, int, void *, size_t);
    return should_fail_read(fd) ? -1 : real(fd, data, limit_read(fd, size));
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    REAL(ssize_t, recv, int, void *, size_t, int);
    return should_fail_read(fd) ? -1 : real(fd, data, limit_read(fd, size), flags);
}

ssize_t write(int fd, const void *data, size_t size)
{
    REAL(ssize_t, write, int, const void *, size_t);
    return real(fd, data, limit_write(fd, size));
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    REAL(ssize_t, send, int, const void *, size_t, int);
    return real(fd, data, limit_write(fd, size), flags);
}

ssize_t writev(int fd, const struct iovec *buffers, int count)
{
    REAL(ssize_t, writev, int, const struct iovec *, int);
    if (count < 1 || limit_write(fd, 2) == 2)
        return real(fd, buffers, count);
    struct iovec first = buffers[0];
    first.iov_len = limit_write(fd, first.iov_len);
    return real(fd, &first, 1);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    REAL(ssize_t, sendmsg, int, const struct msghdr *, int);
    if (message->msg_controllen || message->msg_iovlen < 1 || limit_write(fd, 2) == 2)
        return real(fd, message, flags);
    struct msghdr half = *message;
    struct iovec first = message->msg_iov[0];
    first.iov_len = limit_write(fd, first.iov_len);
    half.msg_iov = &first;
    half.msg_iovlen = 1;
    return real(fd, &half, flags);
}
