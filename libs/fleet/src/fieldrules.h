/**
 * Field tables: a table describes how an object is read from JSON and written to it. A rule reads
 * one value and reports errors, or writes it.
 */
#pragma once

#include "fieldcontext.h"
#include "textrules.h"

#include "almondridge/base/ids.h"

#include <limits>
#include <tuple>
#include <type_traits>

namespace almondridge::fleet {

enum class Presence { Required, Optional };

/** A member of Object, with its key in the file. */
template <typename Object, typename Member, typename Rule>
struct Field
{
    std::string_view key_;
    Member Object::*member_;
    Rule rule_;
    Presence presence_;
};

template <typename Object, typename Member, typename Rule>
constexpr Field<Object, Member, Rule> required(std::string_view key, Member Object::*member,
                                               Rule rule)
{
    return {key, member, rule, Presence::Required};
}

template <typename Object, typename Member, typename Rule>
constexpr Field<Object, Member, Rule> optional(std::string_view key, Member Object::*member,
                                               Rule rule)
{
    return {key, member, rule, Presence::Optional};
}

/** Strings accepted by a TextRule. */
struct Text
{
    TextRule rule_;

    template <typename Value>
    void read(const FieldContext &at, const Json &value, Value &out) const
    {
        if (value.is_string() && rule_.accepts_(value.get_ref<const std::string &>())) {
            out = Value(value.get<std::string>());
        } else if (rule_.secret_) {
            at.addSecretError(remedy());
        } else {
            at.addError(value, remedy());
        }
    }
    OrderedJson write(const std::string &value) const { return value; }
    template <typename Tag>
    OrderedJson write(const Id<Tag> &value) const
    {
        return value.value();
    }
    std::string remedy() const { return std::string(rule_.remedy_); }
};

/** Integers from min_ to max_. */
struct IntegerRange
{
    std::int64_t min_;
    std::int64_t max_;

    template <typename Value>
    void read(const FieldContext &at, const Json &value, Value &out) const
    {
        constexpr auto Limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        const bool fits = value.is_number_unsigned() ? value.get<std::uint64_t>() <= Limit
                                                     : value.is_number_integer();
        if (!fits || value.get<std::int64_t>() < min_ || value.get<std::int64_t>() > max_) {
            at.addError(value, remedy());
            return;
        }
        out = static_cast<Value>(value.get<std::int64_t>());
    }
    template <typename Value>
    OrderedJson write(Value value) const
    {
        return value;
    }
    std::string remedy() const
    {
        return "write a whole number from " + std::to_string(min_) + " to " + std::to_string(max_);
    }
};

/** Numbers from min_ to max_. */
struct NumberRange
{
    double min_;
    double max_;

    void read(const FieldContext &at, const Json &value, double &out) const
    {
        // With comparisons in this form, NaN is refused too.
        const bool fits =
            value.is_number() && value.get<double>() >= min_ && value.get<double>() <= max_;
        if (!fits) {
            at.addError(value, remedy());
            return;
        }
        out = value.get<double>();
    }
    OrderedJson write(double value) const { return value; }
    std::string remedy() const
    {
        return "write a number from " + Json(min_).dump() + " to " + Json(max_).dump();
    }
};

/** Booleans. */
struct Boolean
{
    void read(const FieldContext &at, const Json &value, bool &out) const
    {
        if (!value.is_boolean()) {
            at.addError(value, remedy());
            return;
        }
        out = value.get<bool>();
    }
    OrderedJson write(bool value) const { return value; }
    std::string remedy() const { return "write true or false"; }
};

/** Enum values by name. */
template <typename Enum, std::size_t size>
struct Choice
{
    const std::array<EnumName<Enum>, size> *names_;

    void read(const FieldContext &at, const Json &value, Enum &out) const
    {
        if (value.is_string()) {
            if (const auto found = valueOf(*names_, value.get_ref<const std::string &>())) {
                out = *found;
                return;
            }
        }
        at.addError(value, remedy());
    }
    OrderedJson write(Enum value) const { return std::string(nameOf(*names_, value)); }
    std::string remedy() const { return "write one of: " + namesOf(*names_); }
};

template <typename Enum, std::size_t size>
constexpr Choice<Enum, size> choice(const std::array<EnumName<Enum>, size> &names)
{
    return {&names};
}

/** Lists of values for which the same rule holds. */
template <typename Rule>
struct List
{
    Rule rule_;

    template <typename Value>
    void read(const FieldContext &at, const Json &value, std::vector<Value> &out) const
    {
        if (!value.is_array()) {
            at.addError(value, remedy());
            return;
        }
        out.clear();
        for (std::size_t index = 0; index < value.size(); ++index) {
            rule_.read(at.element(index), value[index], out.emplace_back());
        }
    }
    template <typename Value>
    OrderedJson write(const std::vector<Value> &values) const
    {
        OrderedJson list = OrderedJson::array();
        for (const Value &value : values) {
            list.push_back(rule_.write(value));
        }
        return list;
    }
    std::string remedy() const { return "write a list"; }
};

template <typename Rule>
constexpr List<Rule> listOf(Rule rule)
{
    return {rule};
}

/** Objects with the fields in table_. */
template <typename Table>
struct Object
{
    const Table *table_;

    template <typename Value>
    void read(const FieldContext &at, const Json &value, Value &out) const
    {
        if (!value.is_object()) {
            at.addError(value, remedy());
            return;
        }
        std::apply([&](const auto &...field) { (readField(at, value, out, field), ...); }, *table_);
        checkUnknownFields(at, value);
    }

    template <typename Value>
    OrderedJson write(const Value &value) const
    {
        OrderedJson object = OrderedJson::object();
        std::apply(
            [&](const auto &...field) {
                ((object[std::string(field.key_)] = field.rule_.write(value.*field.member_)), ...);
            },
            *table_);
        return object;
    }

    std::string remedy() const { return "write an object with the fields " + keys(); }

private:
    template <typename Value, typename FieldType>
    static void readField(const FieldContext &at, const Json &object, Value &out,
                          const FieldType &field)
    {
        const FieldContext here = at.member(field.key_);
        const auto found = object.find(field.key_);
        if (found != object.end()) {
            field.rule_.read(here, *found, out.*field.member_);
        } else if (field.presence_ == Presence::Required) {
            here.addMissingError(field.rule_.remedy());
        }
    }

    void checkUnknownFields(const FieldContext &at, const Json &object) const
    {
        for (const auto &[key, value] : object.items()) {
            if (!hasField(key)) {
                at.member(key).addError(value, "remove it; the fields here are " + keys());
            }
        }
    }

    bool hasField(std::string_view key) const
    {
        return std::apply([&](const auto &...field) { return ((field.key_ == key) || ...); },
                          *table_);
    }

    std::string keys() const
    {
        std::string text;
        const auto add = [&](std::string_view key) {
            text += text.empty() ? "" : ", ";
            text += key;
        };
        std::apply([&](const auto &...field) { (add(field.key_), ...); }, *table_);
        return text;
    }
};

template <typename Table>
constexpr Object<Table> object(const Table &table)
{
    return {&table};
}

} // namespace almondridge::fleet
