/**
 * Tables of fields: one table both reads an object from JSON and writes it. A rule reads one
 * value, reports what is wrong with it, and writes it back.
 */
#pragma once

#include "fieldcontext.h"
#include "textrules.h"

#include "almondridge/base/ids.h"

#include <limits>
#include <tuple>
#include <type_traits>

namespace almondridge::fleet {

enum class Need { Required, Optional };

/** One member of Object under its key in the file. */
template <typename Object, typename Member, typename Rule>
struct Field
{
    std::string_view key_;
    Member Object::*member_;
    Rule rule_;
    Need need_;
};

template <typename Object, typename Member, typename Rule>
constexpr Field<Object, Member, Rule> required(std::string_view key, Member Object::*member,
                                               Rule rule)
{
    return {key, member, rule, Need::Required};
}

template <typename Object, typename Member, typename Rule>
constexpr Field<Object, Member, Rule> optional(std::string_view key, Member Object::*member,
                                               Rule rule)
{
    return {key, member, rule, Need::Optional};
}

struct Text
{
    TextRule rule_;

    template <typename Value>
    void read(const FieldReader &at, const Json &value, Value &out) const
    {
        if (value.is_string() && rule_.accepts_(value.get_ref<const std::string &>())) {
            out = Value(value.get<std::string>());
        } else if (rule_.secret_) {
            at.refuseSecret(remedy());
        } else {
            at.refuse(value, remedy());
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

/** Whole numbers from min_ to max_. */
struct Whole
{
    std::int64_t min_;
    std::int64_t max_;

    template <typename Value>
    void read(const FieldReader &at, const Json &value, Value &out) const
    {
        constexpr auto Limit = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        const bool fits = value.is_number_unsigned() ? value.get<std::uint64_t>() <= Limit
                                                     : value.is_number_integer();
        if (!fits || value.get<std::int64_t>() < min_ || value.get<std::int64_t>() > max_) {
            at.refuse(value, remedy());
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
struct Real
{
    double min_;
    double max_;

    void read(const FieldReader &at, const Json &value, double &out) const
    {
        // Written so that a NaN is refused as well.
        const bool fits =
            value.is_number() && value.get<double>() >= min_ && value.get<double>() <= max_;
        if (!fits) {
            at.refuse(value, remedy());
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

struct Flag
{
    void read(const FieldReader &at, const Json &value, bool &out) const
    {
        if (!value.is_boolean()) {
            at.refuse(value, remedy());
            return;
        }
        out = value.get<bool>();
    }
    OrderedJson write(bool value) const { return value; }
    std::string remedy() const { return "write true or false"; }
};

template <typename Enum, std::size_t size>
struct Choice
{
    const std::array<EnumName<Enum>, size> *names_;

    void read(const FieldReader &at, const Json &value, Enum &out) const
    {
        if (value.is_string()) {
            if (const auto found = valueOf(*names_, value.get_ref<const std::string &>())) {
                out = *found;
                return;
            }
        }
        at.refuse(value, remedy());
    }
    OrderedJson write(Enum value) const { return std::string(nameOf(*names_, value)); }
    std::string remedy() const { return "write one of: " + namesOf(*names_); }
};

template <typename Enum, std::size_t size>
constexpr Choice<Enum, size> choice(const std::array<EnumName<Enum>, size> &names)
{
    return {&names};
}

template <typename Rule>
struct List
{
    Rule rule_;

    template <typename Value>
    void read(const FieldReader &at, const Json &value, std::vector<Value> &out) const
    {
        if (!value.is_array()) {
            at.refuse(value, remedy());
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

/** An object whose fields stand in table_. */
template <typename Table>
struct Object
{
    const Table *table_;

    template <typename Value>
    void read(const FieldReader &at, const Json &value, Value &out) const
    {
        if (!value.is_object()) {
            at.refuse(value, remedy());
            return;
        }
        std::apply([&](const auto &...field) { (readField(at, value, out, field), ...); }, *table_);
        refuseUnknown(at, value);
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
    static void readField(const FieldReader &at, const Json &object, Value &out,
                          const FieldType &field)
    {
        const FieldReader here = at.member(field.key_);
        const auto found = object.find(field.key_);
        if (found != object.end()) {
            field.rule_.read(here, *found, out.*field.member_);
        } else if (field.need_ == Need::Required) {
            here.refuseMissing(field.rule_.remedy());
        }
    }

    void refuseUnknown(const FieldReader &at, const Json &object) const
    {
        for (const auto &[key, value] : object.items()) {
            if (!knows(key)) {
                at.member(key).refuse(value, "remove it; the fields here are " + keys());
            }
        }
    }

    bool knows(std::string_view key) const
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
