/* Makes socket calls of the process that loads it (LD_PRELOAD) fail or come short, at random from a seed.
 *
 * FAULTS is a list such as "recv-short=0.1,accept=0.05": the rate by call, from 0 to 1. FAULT_SEED seeds the draws.
 * FAULT_COUNTS names a file that is mapped and holds the number of injected faults by call, in the order of `names`.
 * Calls on a socket that would block are not changed, except that accept fails only if a connection waits. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

enum fault { RECV_SHORT, RECV_EINTR, SEND_SHORT, SEND_EINTR, SEND_NOBUFS, ACCEPT, CONNECT, SOCKET, WAIT_EINTR, FAULTS };
static const char *const names[FAULTS] = {"recv-short", "recv-eintr", "send-short", "send-eintr", "send-nobufs",
                                          "accept",     "connect",    "socket",     "wait-eintr"};
static double rates[FAULTS];
static uint64_t own_counts[FAULTS], *counts = own_counts;
static uint64_t state;

__attribute__((constructor)) static void load(void) {
    const char *seed = getenv("FAULT_SEED"), *path = getenv("FAULT_COUNTS"), *list = getenv("FAULTS");
    state = seed ? strtoull(seed, NULL, 10) * 2 + 1 : 1;
    int file = path ? open(path, O_RDWR | O_CREAT, 0600) : -1;
    if (file >= 0 && ftruncate(file, sizeof own_counts) == 0) {
        void *mapped = mmap(NULL, sizeof own_counts, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        if (mapped != MAP_FAILED) counts = mapped;
    }
    if (file >= 0) close(file);
    for (int fault = 0; list && fault < FAULTS; fault++) {
        size_t length = strlen(names[fault]);
        for (const char *found = list; (found = strstr(found, names[fault])); found += length)
            if (found[length] == '=') rates[fault] = strtod(found + length + 1, NULL);
    }
}

static uint64_t draw(void) { /* xorshift64* */
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return state * 2685821657736338717ull;
}

static int injected(enum fault fault) {
    if (rates[fault] <= 0 || (double)(draw() >> 11) / (double)(1ull << 53) >= rates[fault]) return 0;
    counts[fault]++;
    return 1;
}

static int fail(int error) {
    errno = error;
    return -1;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

ssize_t recv(int socket, void *buffer, size_t length, int flags) {
    if (!(flags & MSG_PEEK) && injected(RECV_EINTR)) return fail(EINTR);
    if (!(flags & MSG_PEEK) && length > 1 && injected(RECV_SHORT)) length = 1 + draw() % (length < 64 ? length - 1 : 63);
    return REAL(recv)(socket, buffer, length, flags);
}

ssize_t send(int socket, const void *buffer, size_t length, int flags) {
    if (injected(SEND_EINTR)) return fail(EINTR);
    if (injected(SEND_NOBUFS)) return fail(draw() % 2 ? ENOBUFS : ENOMEM);
    if (length > 1 && injected(SEND_SHORT)) length = 1 + draw() % (length - 1);
    return REAL(send)(socket, buffer, length, flags);
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ENFILE, ENOBUFS, ENOMEM, ECONNABORTED, EPROTO, EINTR, ENETUNREACH, EMFILE};
    struct pollfd waiting = {.fd = socket, .events = POLLIN};
    if (rates[ACCEPT] > 0 && poll(&waiting, 1, 0) == 1 && injected(ACCEPT))
        return fail(errors[draw() % (sizeof errors / sizeof *errors)]);
    return REAL(accept4)(socket, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EHOSTUNREACH, ETIMEDOUT};
    if (injected(CONNECT)) return fail(errors[draw() % (sizeof errors / sizeof *errors)]);
    return REAL(connect)(socket, address, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, ENOMEM, EMFILE};
    if ((type & 15) == SOCK_STREAM && injected(SOCKET)) return fail(errors[draw() % 4]);
    return REAL(socket)(domain, type, protocol);
}

int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout) {
    if (injected(WAIT_EINTR)) return fail(EINTR);
    return REAL(epoll_wait)(epoll, events, count, timeout);
}
