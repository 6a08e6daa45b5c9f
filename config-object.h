#ifndef CONFIG_OBJECT_H
#define CONFIG_OBJECT_H

#include "config.h"

/*
 * Generic access to the objects of a configuration. config_t has one array for
 * each type of object, sorted by name; each object holds the revision that last
 * wrote it. A table of type descriptors has the offsets of these fields.
 */

/** struct config_object_type_t - descriptor of one type of object. */
typedef struct {
	const char *label;		/* for messages, such as "profile" */
	config_item_kind_t put, retire; /* items that write and remove it */
	xdrproc_t proc;
	size_t size;	    /* size of one object */
	size_t name_offset; /* offset of the object's name, a char * */
	/* Offset of the copy's name in a planned stop; CONFIG_NO_COPY_NAME for
	 * other types. */
	size_t copy_name_offset;
	size_t revision_offset; /* offset of the object's revision */
	size_t count_offset;	/* offset of the array's length in config_t */
	size_t values_offset;	/* offset of the array in config_t */
	u_int max_count;	/* maximum number of objects of this type */
	/* Whether any printable name is allowed, not just hl_name_valid(). */
	bool printable_name;
} config_object_type_t;

#define CONFIG_NO_COPY_NAME SIZE_MAX

/** config_object_type - type of object that an item kind writes, or NULL. */
const config_object_type_t *config_object_type(config_item_kind_t kind);

/** config_object_name - name of an object. */
const char *config_object_name(const config_object_type_t *type,
			       const void *value);

/**
 * config_object_copy_name - name of the copy in a planned stop, "" for other
 * types.
 */
const char *config_object_copy_name(const config_object_type_t *type,
				    const void *value);

/** config_object_revision - revision that last wrote an object. */
uint64_t config_object_revision(const config_object_type_t *type,
				const void *value);

/**
 * config_object_is_reported - whether objects of a type are written after
 * reports of running processes rather than by operators.
 *
 * Their items have an effect of their own, or none, and are idempotent.
 */
bool config_object_is_reported(const config_object_type_t *type);

/** config_object_count - number of objects of a type. */
u_int config_object_count(const config_object_type_t *type,
			  const config_t *config);

/** config_object_at - object at an index of the sorted array. */
void *config_object_at(const config_object_type_t *type, const config_t *config,
		       u_int index);

/**
 * config_object_find - find the object with the same names as @key.
 * @type: the type of object
 * @config: the configuration
 * @key: an object in which only the names are set
 *
 * Return: the object, or NULL.
 */
void *config_object_find(const config_object_type_t *type,
			 const config_t *config, const void *key);

/**
 * config_object_put - add an object, or replace the one with the same names.
 * @type: the type of object
 * @config: the configuration
 * @value: the object; it is copied
 * @revision: the revision that writes it
 *
 * Return: 0, or -1 if out of memory.
 */
int config_object_put(const config_object_type_t *type, config_t *config,
		      const void *value, uint64_t revision);

/**
 * config_object_remove - remove and free an object.
 * @type: the type of object
 * @config: the configuration
 * @value: the object, as config_object_find() or config_object_at() returned it
 */
void config_object_remove(const config_object_type_t *type, config_t *config,
			  void *value);

#endif
