/**
 * JSON serialisation by tables: one table of member pointers both writes and reads a struct.
 * Private to the library.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"

#include <concepts>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace almondridge::control {

using Json = nlohmann::json;

/** One field: its JSON name and its member. */
template <typename Owner, typename Member>
struct JsonField
{
    const char *name_;
    Member Owner::*member_;
};

template <typename Owner, typename Member>
constexpr JsonField<Owner, Member> jsonField(const char *name, Member Owner::*member)
{
    return {name, member};
}

/** Specialised for each serialisable struct; Table is a tuple of JsonField. */
template <typename T>
struct JsonFields;

/** Specialised for each serialisable enum; Table holds the names of its values. */
template <typename T>
struct JsonNames;

/** write() converts a T to JSON; read() converts it back and returns false if it is not a T. */
template <typename T>
struct JsonValue;

/** A string of any bytes; written in hex when it is not UTF-8, which JSON text requires. */
template <>
struct JsonValue<std::string>
{
    static Json write(const std::string &value);
    static bool read(const Json &json, std::string &value);
};

template <>
struct JsonValue<bool>
{
    static Json write(bool value) { return value; }
    static bool read(const Json &json, bool &value)
    {
        value = json.is_boolean() && json.get<bool>();
        return json.is_boolean();
    }
};

template <>
struct JsonValue<std::uint64_t>
{
    static Json write(std::uint64_t value) { return value; }
    static bool read(const Json &json, std::uint64_t &value)
    {
        value = json.is_number_unsigned() ? json.get<std::uint64_t>() : 0;
        return json.is_number_unsigned();
    }
};

template <std::signed_integral T>
struct JsonValue<T>
{
    static Json write(T value) { return value; }
    static bool read(const Json &json, T &value)
    {
        // An unsigned number beyond the signed range would become negative.
        if (!json.is_number_integer()
            || (json.is_number_unsigned()
                && json.get<std::uint64_t>() > std::uint64_t(std::numeric_limits<T>::max()))) {
            return false;
        }
        const auto wide = json.get<std::int64_t>();
        value = static_cast<T>(wide);
        return value == wide;
    }
};

template <typename Tag>
struct JsonValue<Id<Tag>>
{
    static Json write(const Id<Tag> &value) { return JsonValue<std::string>::write(value.value()); }
    static bool read(const Json &json, Id<Tag> &value)
    {
        std::string text;
        const bool fits = JsonValue<std::string>::read(json, text);
        value = Id<Tag>(std::move(text));
        return fits;
    }
};

template <typename T>
struct JsonValue<std::vector<T>>
{
    static Json write(const std::vector<T> &values)
    {
        Json list = Json::array();
        for (const T &value : values) {
            list.push_back(JsonValue<T>::write(value));
        }
        return list;
    }
    static bool read(const Json &json, std::vector<T> &values)
    {
        if (!json.is_array()) {
            return false;
        }
        values.assign(json.size(), T {});
        for (std::size_t index = 0; index < json.size(); ++index) {
            if (!JsonValue<T>::read(json[index], values[index])) {
                return false;
            }
        }
        return true;
    }
};

/** A list of [key, value] pairs, because the names in a JSON object must be UTF-8. */
template <typename Key, typename T>
struct JsonValue<std::map<Key, T>>
{
    static Json write(const std::map<Key, T> &entries)
    {
        Json list = Json::array();
        for (const auto &[key, value] : entries) {
            list.push_back(Json::array({JsonValue<Key>::write(key), JsonValue<T>::write(value)}));
        }
        return list;
    }
    static bool read(const Json &json, std::map<Key, T> &entries)
    {
        if (!json.is_array()) {
            return false;
        }
        for (const Json &entry : json) {
            Key key;
            T value;
            if (!entry.is_array() || entry.size() != 2 || !JsonValue<Key>::read(entry[0], key)
                || !JsonValue<T>::read(entry[1], value)) {
                return false;
            }
            entries.insert_or_assign(std::move(key), std::move(value));
        }
        return true;
    }
};

template <typename T>
requires requires
{
    JsonNames<T>::Table;
}
struct JsonValue<T>
{
    static Json write(T value) { return nameOf(JsonNames<T>::Table, value); }
    static bool read(const Json &json, T &value)
    {
        const auto found = json.is_string()
                               ? valueOf(JsonNames<T>::Table, json.get_ref<const std::string &>())
                               : std::nullopt;
        value = found.value_or(T {});
        return found.has_value();
    }
};

/** Writes the fields of value into object. */
template <typename T>
void writeFields(const T &value, Json &object)
{
    const auto writeOne = [&](const auto &field) {
        using Member = std::remove_cvref_t<decltype(value.*field.member_)>;
        object[field.name_] = JsonValue<Member>::write(value.*field.member_);
    };
    std::apply([&](const auto &...field) { (writeOne(field), ...); }, JsonFields<T>::Table);
}

/** Reads the fields of value; returns the name of the first missing or invalid one, or null. */
template <typename T>
const char *readFields(const Json &object, T &value)
{
    const char *wrong = nullptr;
    const auto readOne = [&](const auto &field) {
        using Member = std::remove_cvref_t<decltype(value.*field.member_)>;
        const auto found = object.find(field.name_);
        if (found == object.end() || !JsonValue<Member>::read(*found, value.*field.member_)) {
            wrong = field.name_;
        }
        return wrong == nullptr;
    };
    std::apply([&](const auto &...field) { (void) (readOne(field) && ...); }, JsonFields<T>::Table);
    return wrong;
}

template <typename T>
requires requires
{
    JsonFields<T>::Table;
}
struct JsonValue<T>
{
    static Json write(const T &value)
    {
        Json object = Json::object();
        writeFields(value, object);
        return object;
    }
    static bool read(const Json &json, T &value)
    {
        return json.is_object() && readFields(json, value) == nullptr;
    }
};

/** Parses any bytes; returns discarded JSON when they are not JSON or nested too deeply. */
Json parseBounded(std::string_view text);

} // namespace almondridge::control
