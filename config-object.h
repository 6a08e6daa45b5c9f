#ifndef CONFIG_OBJECT_H
#define CONFIG_OBJECT_H

#include "config.h"

/*
 * All kinds of objects are handled alike: a list in config_t sorted by name,
 * each with the revision that last wrote it.
 */

/** struct config_object_type_t - where the parts of one kind of object are. */
typedef struct {
	const char *word; /* "profile" */
	config_item_kind_t put, retire;
	xdrproc_t proc;
	size_t size;
	size_t name;	 /* offset of the char * of its name */
	size_t copy;	 /* the same of a second name, or CONFIG_NO_COPY */
	size_t revision; /* offset of its revision */
	size_t count;	 /* offset of the length in config_t */
	size_t values;	 /* offset of the list in config_t */
	u_int most;	 /* objects of this kind */
	bool any_name;	 /* its name is the operator's or copy's own */
} config_object_type_t;

#define CONFIG_NO_COPY SIZE_MAX

/** config_object_type - the kind of object that an item is about, or NULL. */
const config_object_type_t *config_object_type(config_item_kind_t kind);

/** config_object_name - the name of an object. */
const char *config_object_name(const config_object_type_t *object,
			       const void *value);

/** config_object_copy - its second name, "" if its kind has none. */
const char *config_object_copy(const config_object_type_t *object,
			       const void *value);

/** config_object_revision - the revision that last wrote it. */
uint64_t config_object_revision(const config_object_type_t *object,
				const void *value);

/** config_object_count - how many objects of a kind there are. */
u_int config_object_count(const config_object_type_t *object,
			  const config_t *config);

/** config_object_at - the object at a place in the list. */
void *config_object_at(const config_object_type_t *object,
		       const config_t *config, u_int place);

/** config_object_find - the object with the names of @like, or NULL. */
void *config_object_find(const config_object_type_t *object,
			 const config_t *config, const void *like);

/**
 * config_object_put - add an object, or replace the one of its name.
 *
 * Return: 0, or -1 without memory.
 */
int config_object_put(const config_object_type_t *object, config_t *config,
		      const void *value, uint64_t revision);

/** config_object_remove - remove and free an object of the list. */
void config_object_remove(const config_object_type_t *object, config_t *config,
			  void *value);

#endif
