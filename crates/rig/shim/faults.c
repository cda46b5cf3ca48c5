/* Makes system calls fail with errors that Linux documents, and offsets the wall clock, in processes under test.
 *
 * The library is loaded with LD_PRELOAD. FAULTS_FILE is the path of a file that holds a `struct faults`; the test changes it
 * while the process runs. FAULTS_SEED makes the random draws of each thread repeatable. Rates are per thousand calls. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

struct faults {
    int64_t wall_offset_ns; /* added to the wall clock, in nanoseconds */
    int64_t accept_rate;    /* accept4 fails with ECONNABORTED, ENFILE, ENOBUFS or EINTR */
    int64_t connect_rate;   /* socket fails with ENOBUFS or ENFILE; connect with EADDRNOTAVAIL, ENETUNREACH, ENOBUFS or EINTR */
    int64_t transfer_rate;  /* send and recv fail with EINTR, ENOMEM or (send) ENOBUFS, or transfer a single byte */
    int64_t wait_rate;      /* epoll_wait fails with EINTR */
    int64_t register_rate;  /* adding a descriptor with epoll_ctl fails with ENOMEM */
    int64_t disk_rate;      /* open64, write, fsync and rename of files fail with ENOSPC or EIO, or write half of the data */
};

static struct faults none;
static struct faults *state = &none;
static uint64_t seed = 1;
static _Atomic uint64_t threads;
static _Thread_local uint64_t rng;

static uint64_t draw(void) {
    if (rng == 0)
        rng = seed * 0x9E3779B97F4A7C15u + ++threads * 0xD1B54A32D192ED03u + 1;
    rng ^= rng << 13;
    rng ^= rng >> 7;
    rng ^= rng << 17;
    return rng;
}

static int should_fail(int64_t rate) { return rate > 0 && (int64_t)(draw() % 1000) < rate; }

static int fail_with(const int *errors, int count) {
    errno = errors[draw() % count];
    return -1;
}

#define FAILS(...) (fail_with((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int)))

#define NEXT(name)                                                                                                     \
    static __typeof__(name) *next;                                                                                     \
    if (!next)                                                                                                         \
    next = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void attach(void) {
    const char *file = getenv("FAULTS_FILE"), *text = getenv("FAULTS_SEED");
    if (text)
        seed = strtoull(text, NULL, 10) | 1;
    if (!file)
        return;
    int fd = open(file, O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return;
    void *at = mmap(NULL, sizeof none, PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (at != MAP_FAILED)
        state = at;
}

static int is_file(int fd) {
    struct stat s;
    return fstat(fd, &s) == 0 && S_ISREG(s.st_mode);
}

int clock_gettime(clockid_t id, struct timespec *t) {
    NEXT(clock_gettime);
    int r = next(id, t);
    if (r == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)t->tv_sec * 1000000000 + t->tv_nsec + state->wall_offset_ns;
        t->tv_sec = ns / 1000000000;
        t->tv_nsec = ns % 1000000000;
    }
    return r;
}

int accept4(int fd, struct sockaddr *a, socklen_t *len, int flags) {
    NEXT(accept4);
    return should_fail(state->accept_rate) ? FAILS(ECONNABORTED, ENFILE, ENOBUFS, EINTR) : next(fd, a, len, flags);
}

int socket(int domain, int type, int protocol) {
    NEXT(socket);
    return (type & SOCK_STREAM) && should_fail(state->connect_rate) ? FAILS(ENOBUFS, ENFILE) : next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *a, socklen_t len) {
    NEXT(connect);
    return should_fail(state->connect_rate) ? FAILS(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR) : next(fd, a, len);
}

ssize_t send(int fd, const void *data, size_t len, int flags) {
    NEXT(send);
    if (should_fail(state->transfer_rate)) {
        if (draw() % 2)
            return FAILS(EINTR, ENOBUFS, ENOMEM);
        len = len > 0 ? 1 : 0;
    }
    return next(fd, data, len, flags);
}

ssize_t recv(int fd, void *data, size_t len, int flags) {
    NEXT(recv);
    if (should_fail(state->transfer_rate)) {
        if (draw() % 2)
            return FAILS(EINTR, ENOMEM);
        len = len > 0 ? 1 : 0;
    }
    return next(fd, data, len, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout) {
    NEXT(epoll_wait);
    return should_fail(state->wait_rate) ? FAILS(EINTR) : next(fd, events, count, timeout);
}

int epoll_ctl(int fd, int op, int of, struct epoll_event *event) {
    NEXT(epoll_ctl);
    return op == EPOLL_CTL_ADD && should_fail(state->register_rate) ? FAILS(ENOMEM) : next(fd, op, of, event);
}

int open64(const char *path, int flags, ...) {
    static int (*next)(const char *, int, ...);
    if (!next)
        next = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    mode_t mode = 0;
    if (flags & (O_CREAT | O_TMPFILE)) {
        va_list rest;
        va_start(rest, flags);
        mode = va_arg(rest, mode_t);
        va_end(rest);
    }
    return should_fail(state->disk_rate) ? FAILS(EIO, ENOSPC) : next(path, flags, mode);
}

ssize_t write(int fd, const void *data, size_t len) {
    NEXT(write);
    if (state->disk_rate > 0 && is_file(fd) && should_fail(state->disk_rate)) {
        if (draw() % 2 == 0)
            return FAILS(ENOSPC, EIO);
        len = len > 1 ? len / 2 : len;
    }
    return next(fd, data, len);
}

int fsync(int fd) {
    NEXT(fsync);
    return should_fail(state->disk_rate) ? FAILS(EIO, ENOSPC) : next(fd);
}

int rename(const char *from, const char *to) {
    NEXT(rename);
    return should_fail(state->disk_rate) ? FAILS(EIO, ENOSPC) : next(from, to);
}
