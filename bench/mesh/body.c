/*
 * Answer bodies that a caller can verify.  A body is a function of request id
 * and length only, so that an answer to another request, a truncated or a
 * corrupted one is detected.  Also the leak exemption shared by the stand-ins.
 */

#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

#include "pt.h"
#include "port.h"
#include "mesh.h"

/* Word "i" of the body: SplitMix64 seeded with the hash of the id. */
static guint64
word(guint64 seed, guint64 i)
{
	guint64 z = seed + (i + 1) * G_GUINT64_CONSTANT(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * G_GUINT64_CONSTANT(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* FNV-1a of the id and the length. */
static guint64
seed_of(const char *id, gsize size)
{
	guint64 h = G_GUINT64_CONSTANT(0xcbf29ce484222325);

	for (; *id != '\0'; id++)
		h = (h ^ (guchar)*id) * G_GUINT64_CONSTANT(0x100000001b3);
	return h ^ ((guint64)size << 1);
}

void
mesh_body_fill(const char *id, gsize size, gsize at, char *buf, gsize len)
{
	guint64 seed = seed_of(id, size), w;
	gsize i, n;

	for (i = 0; i < len; i += n) {
		w = GUINT64_TO_LE(word(seed, (at + i) / 8));
		n = MIN(8 - (at + i) % 8, len - i);
		memcpy(buf + i, (char *)&w + (at + i) % 8, n);
	}
}

gboolean
mesh_body_check(
    const char *id, gsize size, gsize at, const char *buf, gsize len)
{
	char part[4096];
	gsize i, n;

	if (at + len > size)
		return FALSE;
	for (i = 0; i < len; i += n) {
		n = MIN(sizeof(part), len - i);
		mesh_body_fill(id, size, at + i, part, n);
		if (memcmp(part, buf + i, n) != 0)
			return FALSE;
	}
	return TRUE;
}

void
mesh_ignore_leak(void *p)
{
#ifdef __SANITIZE_ADDRESS__
	if (p != NULL)
		__lsan_ignore_object(p);
#endif
}
