/**
 * Settings as tables of member pointers: one table reads a struct from JSON and shows it again.
 */
#pragma once

#include "almondridge/base/error.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace almondridge::standins {

using Json = nlohmann::json;

/** A member of Owner that a setting can set. */
template <typename Owner>
using FieldPointer = std::variant<bool Owner::*, int Owner::*, std::int64_t Owner::*,
                                  double Owner::*, std::string Owner::*>;

/** One row of a table of settings. */
template <typename Owner>
struct Field
{
    std::string_view name_;
    FieldPointer<Owner> member_;
};

/** InvalidInput that names field and what it should have been. */
boost::leaf::error_id wrongField(std::string_view name, const Json &value,
                                 std::string_view expected);

/** Reads value into target. InvalidInput when it has another type. */
Result<void> readValue(std::string_view name, const Json &value, bool &target);
Result<void> readValue(std::string_view name, const Json &value, int &target);
Result<void> readValue(std::string_view name, const Json &value, std::int64_t &target);
Result<void> readValue(std::string_view name, const Json &value, double &target);
Result<void> readValue(std::string_view name, const Json &value, std::string &target);

/**
 * Sets the members of owner that object names. InvalidInput: a wrong type, or a name that is
 * neither in table nor in others (names that the caller of this function reads itself). Leaves
 * owner as it was on failure.
 */
template <typename Owner, std::size_t size>
Result<void> readFields(const Json &object, const std::array<Field<Owner>, size> &table,
                        Owner &owner, std::initializer_list<std::string_view> others = {})
{
    if (!object.is_object()) {
        return wrongField("", object, "a JSON object");
    }
    Owner changed = owner;
    for (const auto &[name, value] : object.items()) {
        const std::string_view wanted = name;
        const auto found = std::find_if(table.begin(), table.end(),
                                        [&](const auto &field) { return field.name_ == wanted; });
        if (found != table.end()) {
            BOOST_LEAF_CHECK(
                std::visit([&, &setting = value](
                               auto member) { return readValue(wanted, setting, changed.*member); },
                           found->member_));
        } else if (std::find(others.begin(), others.end(), wanted) == others.end()) {
            return wrongField(name, value, "a setting that exists");
        }
    }
    owner = std::move(changed);
    return {};
}

/** The members of owner under their names. */
// Not inlined: GCC 12 else warns of the alternatives of FieldPointer that the table does not use.
template <typename Owner, std::size_t size>
[[gnu::noinline]] Json showFields(const std::array<Field<Owner>, size> &table, const Owner &owner)
{
    Json object = Json::object();
    for (const Field<Owner> &field : table) {
        std::visit([&](auto member) { object[std::string(field.name_)] = owner.*member; },
                   field.member_);
    }
    return object;
}

} // namespace almondridge::standins
