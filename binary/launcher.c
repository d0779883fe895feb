/* The launcher of the one-file binary.
 *
 * Unpacks the program behind it (a ustar archive) to a memory file system, once
 * for each build, and becomes it by exec: no child, and no parent left.
 *
 * The folder is $PASSTALLY_RUNTIME_DIR, else /run, else /tmp.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "PASSTALLY-BINARY"
#define MAGIC_BYTES 16
#define BUILD_BYTES 16
#define BLOCK 512

/* What stands at the end of the file. */
struct trailer {
    uint64_t offset;
    char build[BUILD_BYTES];
    char magic[MAGIC_BYTES];
};

static void fail(const char *step, const char *what) {
    fprintf(stderr, "passtally: %s %s: %s\n", step, what, strerror(errno));
    exit(1);
}

static FILE *open_self(struct trailer *trailer) {
    FILE *self = fopen("/proc/self/exe", "rb");
    if (self == NULL)
        fail("open", "itself");
    if (fseek(self, -(long)sizeof *trailer, SEEK_END) != 0 ||
        fread(trailer, sizeof *trailer, 1, self) != 1 ||
        memcmp(trailer->magic, MAGIC, MAGIC_BYTES) != 0) {
        fprintf(stderr, "passtally: this file is cut short\n");
        exit(1);
    }
    return self;
}

static void make_parents(char *path) {
    for (char *slash = strchr(path + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) != 0 && errno != EEXIST)
            fail("make", path);
        *slash = '/';
    }
}

static void copy_file(FILE *self, const char *path, long size, mode_t mode) {
    char buffer[1 << 16];
    FILE *target = fopen(path, "wb");
    if (target == NULL)
        fail("write", path);
    for (long left = size; left > 0;) {
        size_t part = left < (long)sizeof buffer ? (size_t)left : sizeof buffer;
        if (fread(buffer, 1, part, self) != part || fwrite(buffer, 1, part, target) != part)
            fail("copy", path);
        left -= (long)part;
    }
    if (fclose(target) != 0 || chmod(path, mode & 0700) != 0)
        fail("finish", path);
    if (size % BLOCK != 0)
        fseek(self, BLOCK - size % BLOCK, SEEK_CUR);
}

/* Unpack regular files and symbolic links into a folder. */
static void unpack(FILE *self, const char *folder) {
    char head[BLOCK], name[PATH_MAX], path[PATH_MAX], link[101];
    while (fread(head, BLOCK, 1, self) == 1 && head[0] != '\0') {
        long size = strtol(head + 124, NULL, 8);
        mode_t mode = (mode_t)strtol(head + 100, NULL, 8);
        if (head[345] != '\0')
            snprintf(name, sizeof name, "%.155s/%.100s", head + 345, head);
        else
            snprintf(name, sizeof name, "%.100s", head);
        if (strstr(name, "..") != NULL ||
            snprintf(path, sizeof path, "%s/%s", folder, name) >= (int)sizeof path) {
            fprintf(stderr, "passtally: bad name %s\n", name);
            exit(1);
        }
        make_parents(path);
        if (head[156] == '2') {
            snprintf(link, sizeof link, "%.100s", head + 157);
            if (symlink(link, path) != 0)
                fail("link", path);
        } else if (head[156] == '0' || head[156] == '\0') {
            copy_file(self, path, size, mode);
        }
    }
}

static const char *runtime_folder(void) {
    const char *named = getenv("PASSTALLY_RUNTIME_DIR");
    if (named != NULL && named[0] != '\0')
        return named;
    return access("/run", W_OK) == 0 ? "/run" : "/tmp";
}

/* Another user's folder must not be run. */
static int is_own(const char *folder) {
    struct stat state;
    return lstat(folder, &state) == 0 && S_ISDIR(state.st_mode) &&
           state.st_uid == geteuid() && (state.st_mode & 077) == 0;
}

int main(int argc, char **argv) {
    struct trailer trailer;
    char folder[PATH_MAX - 64], fresh[PATH_MAX - 32], program[PATH_MAX];
    (void)argc;
    FILE *self = open_self(&trailer);
    snprintf(folder, sizeof folder, "%s/passtally-%d-%.16s", runtime_folder(),
             (int)geteuid(), trailer.build);
    if (!is_own(folder)) {
        snprintf(fresh, sizeof fresh, "%s.%d", folder, (int)getpid());
        if (mkdir(fresh, 0700) != 0)
            fail("make", fresh);
        if (fseek(self, (long)trailer.offset, SEEK_SET) != 0)
            fail("seek", "itself");
        unpack(self, fresh);
        /* Another start may have been faster; then its folder stands. */
        if (rename(fresh, folder) != 0 && !is_own(folder))
            fail("rename", folder);
    }
    fclose(self);
    snprintf(program, sizeof program, "%s/passtally", folder);
    execv(program, argv);
    fail("start", program);
    return 1;
}
