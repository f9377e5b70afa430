/*
 * Makes system calls of one process fail as Linux documents, and its wall clock wrong. Loaded with LD_PRELOAD.
 *
 * SOAK_SEED         of the draws
 * SOAK_ONE_IN       one call in so many fails, or is cut short
 * SOAK_CLOCK_MS     added to the wall clock; the monotonic clock stays as it is
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define DESCRIPTORS 4096
#define TYPE_MASK 0xf /* of socket's argument; flags stand above it */
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define LENGTH(array) (sizeof(array) / sizeof((array)[0]))

static atomic_uint_least64_t state;
static uint64_t one_in;
static long clock_ms;
static atomic_char is_socket[DESCRIPTORS];

static int (*real_accept)(int, struct sockaddr *, socklen_t *);
static int (*real_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*real_socket)(int, int, int);
static int (*real_connect)(int, const struct sockaddr *, socklen_t);
static int (*real_close)(int);
static int (*real_epoll_wait)(int, struct epoll_event *, int, int);
static ssize_t (*real_read)(int, void *, size_t);
static ssize_t (*real_write)(int, const void *, size_t);
static int (*real_clock_gettime)(clockid_t, struct timespec *);
static int (*real_gettimeofday)(struct timeval *, void *);

__attribute__((constructor)) static void begin(void) {
    real_accept = dlsym(RTLD_NEXT, "accept");
    real_accept4 = dlsym(RTLD_NEXT, "accept4");
    real_socket = dlsym(RTLD_NEXT, "socket");
    real_connect = dlsym(RTLD_NEXT, "connect");
    real_close = dlsym(RTLD_NEXT, "close");
    real_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    real_read = dlsym(RTLD_NEXT, "read");
    real_write = dlsym(RTLD_NEXT, "write");
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_gettimeofday = dlsym(RTLD_NEXT, "gettimeofday");
    const char *seed = getenv("SOAK_SEED");
    const char *rate = getenv("SOAK_ONE_IN");
    const char *offset = getenv("SOAK_CLOCK_MS");
    state = seed ? strtoull(seed, NULL, 10) : 1;
    one_in = rate ? strtoull(rate, NULL, 10) : 0;
    clock_ms = offset ? strtol(offset, NULL, 10) : 0;
}

/* splitmix64 over a shared counter */
static uint64_t draw(void) {
    uint64_t z = atomic_fetch_add(&state, UINT64_C(0x9e3779b97f4a7c15)) + UINT64_C(0x9e3779b97f4a7c15);
    z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
    return z ^ (z >> 31);
}

static int fails(void) { return one_in > 0 && draw() % one_in == 0; }

static int fail_with(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}

/* Only streams may be cut short. */
static int opened(int fd, int type) {
    if (fd >= 0 && fd < DESCRIPTORS) {
        is_socket[fd] = (type & TYPE_MASK) == SOCK_STREAM;
    }
    return fd;
}

static int cut_short(int fd, size_t length) {
    return length > 1 && fd >= 0 && fd < DESCRIPTORS && is_socket[fd] && fails();
}

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, ENOMEM, EINTR};
static const int SOCKET_ERRORS[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};

static const int LOCAL_CONNECT_ERRORS[] = {ENOBUFS, ENOMEM}; /* of Unix sockets */

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return fails() ? fail_with(ACCEPT_ERRORS, LENGTH(ACCEPT_ERRORS)) : opened(real_accept(fd, address, length), SOCK_STREAM);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails() ? fail_with(ACCEPT_ERRORS, LENGTH(ACCEPT_ERRORS))
                   : opened(real_accept4(fd, address, length, flags), SOCK_STREAM);
}

int socket(int domain, int type, int protocol) {
    return fails() ? fail_with(SOCKET_ERRORS, LENGTH(SOCKET_ERRORS))
                   : opened(real_socket(domain, type, protocol), type);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (!fails()) {
        return real_connect(fd, address, length);
    }
    return address->sa_family == AF_UNIX ? fail_with(LOCAL_CONNECT_ERRORS, LENGTH(LOCAL_CONNECT_ERRORS))
                                         : fail_with(CONNECT_ERRORS, LENGTH(CONNECT_ERRORS));
}

int close(int fd) {
    if (fd >= 0 && fd < DESCRIPTORS) {
        is_socket[fd] = 0;
    }
    return real_close(fd);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (fails()) {
        errno = EINTR;
        return -1;
    }
    return real_epoll_wait(fd, events, most, timeout);
}

ssize_t read(int fd, void *buffer, size_t length) {
    return real_read(fd, buffer, cut_short(fd, length) ? 1 + draw() % (length - 1) : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    return real_write(fd, buffer, cut_short(fd, length) ? 1 + draw() % (length - 1) : length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (count > 1 && cut_short(fd, count)) {
        return real_write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    static ssize_t (*real_writev)(int, const struct iovec *, int);
    if (!real_writev) {
        real_writev = dlsym(RTLD_NEXT, "writev");
    }
    return real_writev(fd, parts, count);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = real_clock_gettime(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && clock_ms != 0) {
        int64_t ms = (int64_t)time->tv_sec * MS_PER_S + time->tv_nsec / NS_PER_MS + clock_ms;
        time->tv_sec = ms / MS_PER_S;
        time->tv_nsec = (ms % MS_PER_S) * NS_PER_MS;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    int result = real_gettimeofday(time, zone);
    if (result == 0 && clock_ms != 0) {
        time->tv_sec += clock_ms / MS_PER_S;
    }
    return result;
}
