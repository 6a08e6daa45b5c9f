#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <string>
#include <toml.hpp>
#include "toml.h"

/*
 * Parses TOML with toml11 and copies the resulting tree into the plain nodes of
 * toml.h. This is the only C++ file, since Debian has no TOML library for C.
 */

namespace
{

char *copy_text(const std::string &text)
{
	char *copy = static_cast<char *>(calloc(1, text.size() + 1));

	if (copy)
		memcpy(copy, text.data(), text.size());
	return copy;
}

toml_node_t *node_from(const toml::value &value);

/* Inserts @child into the members of @parent, in the order of lines. */
void node_insert(toml_node_t *parent, toml_node_t *child)
{
	toml_node_t **at = &parent->children;

	while (*at && (*at)->line <= child->line)
		at = &(*at)->next;
	child->next = *at;
	*at = child;
}

void node_fill_table(toml_node_t *node, const toml::value &value)
{
	for (const auto &member : value.as_table()) {
		toml_node_t *child = node_from(member.second);

		child->key = copy_text(member.first);
		node_insert(node, child);
	}
}

void node_fill_array(toml_node_t *node, const toml::value &value)
{
	toml_node_t **at = &node->children;

	for (const auto &member : value.as_array()) {
		*at = node_from(member);
		at = &(*at)->next;
	}
}

toml_node_t *node_from(const toml::value &value)
{
	auto *node = static_cast<toml_node_t *>(calloc(1, sizeof(toml_node_t)));

	if (!node)
		throw std::bad_alloc();
	node->line = static_cast<int>(value.location().line());
	switch (value.type()) {
	case toml::value_t::table:
		node->kind = TOML_TABLE;
		node_fill_table(node, value);
		break;
	case toml::value_t::array:
		node->kind = TOML_ARRAY;
		node_fill_array(node, value);
		break;
	case toml::value_t::string:
		node->kind = TOML_STRING;
		node->text = copy_text(value.as_string().str);
		break;
	case toml::value_t::integer:
		node->kind = TOML_INTEGER;
		node->integer = value.as_integer();
		break;
	case toml::value_t::floating:
		node->kind = TOML_REAL;
		node->real = value.as_floating();
		break;
	case toml::value_t::boolean:
		node->kind = TOML_BOOLEAN;
		node->boolean = value.as_boolean();
		break;
	default:
		node->kind = TOML_OTHER;
		break;
	}
	return node;
}

/* The first line of a message of toml11, without its excerpt of the file. */
std::string first_line(const std::string &what)
{
	std::string text = what;

	if (text.rfind("[error] ", 0) == 0)
		text = text.substr(strlen("[error] "));
	return text.substr(0, text.find('\n'));
}

} // namespace

extern "C" toml_node_t *toml_parse_text(const char *name, const char *text,
					size_t size, hl_error_t *err)
{
	if (size == 0)
		return static_cast<toml_node_t *>(
			calloc(1, sizeof(toml_node_t)));
	try {
		std::istringstream stream(std::string(text, size));

		return node_from(toml::parse(stream, name));
	} catch (const toml::exception &e) {
		hl_error_set(err, HL_ERR_SETTINGS,
			     "%s:%u: %s; correct the line to valid TOML 1.0",
			     name, static_cast<unsigned>(e.location().line()),
			     first_line(e.what()).c_str());
	} catch (const std::exception &e) {
		hl_error_set(err, HL_ERR_SETTINGS,
			     "%s: %s; correct the file to valid TOML 1.0", name,
			     first_line(e.what()).c_str());
	}
	return nullptr;
}

extern "C" toml_node_t *toml_parse_file(const char *path, hl_error_t *err)
{
	std::ifstream file(path, std::ios::binary);
	std::ostringstream content;

	if (!file.is_open()) {
		hl_error_set(err, HL_ERR_IO,
			     "%s: %s; give the path of a readable file", path,
			     strerror(errno));
		return nullptr;
	}
	content << file.rdbuf();
	const std::string text = content.str();

	return toml_parse_text(path, text.data(), text.size(), err);
}

extern "C" void toml_free(toml_node_t *root)
{
	while (root) {
		toml_node_t *next = root->next;

		toml_free(root->children);
		free(root->key);
		free(root->text);
		free(root);
		root = next;
	}
}

extern "C" toml_node_t *toml_find(const toml_node_t *table, const char *key)
{
	toml_node_t *child;

	for (child = table->children; child; child = child->next)
		if (child->key && !strcmp(child->key, key))
			return child;
	return nullptr;
}
