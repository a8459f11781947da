/* The head of the one-file program.
 *
 * Unpacks the archive at its own end into memory-backed storage, once for each
 * content, and turns into the program there with exec: no second process.
 *
 * The archive: entries of mode (u32), path length (u32), size (u64), path and
 * content, all little-endian; then the archive's size (u64) and its name (64
 * hexadecimal digits), which is the name of the folder it is unpacked to.
 */

#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#define NAME_BYTES 64
#define TAIL_BYTES (8 + NAME_BYTES)
#define FOLDER_VARIABLE "RATTANHOLLOW_UNPACK_IN"
#define DEFAULT_FOLDER "/dev/shm"
#define PROGRAM "rattanhollow"

static void stop(const char *what) {
  fprintf(stderr, "rattanhollow: %s: %s\n", what, strerror(errno));
  exit(1);
}

static uint64_t number(const unsigned char *at, int bytes) {
  uint64_t value = 0;
  for (int i = bytes - 1; i >= 0; i--) value = value << 8 | at[i];
  return value;
}

static void make_parents(char *path) {
  for (char *at = path + 1; *at; at++) {
    if (*at != '/') continue;
    *at = 0;
    if (mkdir(path, 0700) && errno != EEXIST) stop(path);
    *at = '/';
  }
}

static void write_file(const char *path, const unsigned char *data, uint64_t size,
                       uint32_t mode) {
  int file = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);
  if (file < 0) stop(path);
  while (size) {
    ssize_t written = write(file, data, size);
    if (written <= 0) stop(path);
    data += written;
    size -= (uint64_t)written;
  }
  if (close(file)) stop(path);
}

static void unpack(const unsigned char *at, const unsigned char *end,
                   const char *folder) {
  while (at < end) {
    uint32_t mode = (uint32_t)number(at, 4);
    uint32_t length = (uint32_t)number(at + 4, 4);
    uint64_t size = number(at + 8, 8);
    char path[PATH_MAX];
    int used = snprintf(path, sizeof path, "%s/%.*s", folder, (int)length, at + 16);
    if (used < 0 || (size_t)used >= sizeof path) {
      errno = ENAMETOOLONG;
      stop(folder);
    }
    make_parents(path);
    write_file(path, at + 16 + length, size, mode);
    at += 16 + length + size;
  }
}

static int is_ours(const char *folder) {
  struct stat found;
  if (lstat(folder, &found)) return 0;
  if (!S_ISDIR(found.st_mode) || found.st_uid != getuid() || found.st_mode & 022) {
    errno = EPERM;
    stop(folder);
  }
  return 1;
}

int main(int argc, char **argv) {
  (void)argc;
  int file = open("/proc/self/exe", O_RDONLY);
  struct stat self;
  if (file < 0 || fstat(file, &self)) stop("own file");
  size_t whole = (size_t)self.st_size;
  const unsigned char *data = mmap(NULL, whole, PROT_READ, MAP_PRIVATE, file, 0);
  if (data == MAP_FAILED) stop("own file");
  const unsigned char *tail = data + whole - TAIL_BYTES;
  uint64_t size = number(tail, 8);

  const char *base = getenv(FOLDER_VARIABLE);
  if (!base) base = DEFAULT_FOLDER;
  char folder[PATH_MAX], fresh[PATH_MAX + 32], program[PATH_MAX + 32];
  snprintf(folder, sizeof folder, "%s/rattanhollow-%.16s", base, tail + 8);
  if (!is_ours(folder)) {
    snprintf(fresh, sizeof fresh, "%s.%d", folder, (int)getpid());
    if (mkdir(fresh, 0700)) stop(fresh);
    unpack(tail - size, tail, fresh);
    /* Another process may have been faster: its copy is as good. */
    if (rename(fresh, folder) && !is_ours(folder)) stop(folder);
  }
  munmap((void *)data, whole);
  close(file);
  snprintf(program, sizeof program, "%s/%s", folder, PROGRAM);
  execv(program, argv);
  stop(program);
}
