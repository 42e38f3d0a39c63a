/**
 * Name tables for enum classes, used both to print a value and to parse it.
 */
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace almondridge {

/** A row of a name table. */
template <typename Enum>
struct EnumName
{
    Enum value_;
    std::string_view name_;
};

/** The name of the value in the table, or "unknown". */
template <typename Enum, std::size_t size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, size> &table,
                                  Enum value) noexcept
{
    for (const EnumName<Enum> &row : table) {
        if (row.value_ == value) {
            return row.name_;
        }
    }
    return "unknown";
}

/** The value with the given name in the table; nullopt if there is none. */
template <typename Enum, std::size_t size>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, size> &table,
                                      std::string_view name) noexcept
{
    for (const EnumName<Enum> &row : table) {
        if (row.name_ == name) {
            return row.value_;
        }
    }
    return std::nullopt;
}

/** All names in the table as "a, b, c", for error messages. */
template <typename Enum, std::size_t size>
std::string namesOf(const std::array<EnumName<Enum>, size> &table)
{
    std::string names;
    for (const EnumName<Enum> &row : table) {
        names += names.empty() ? "" : ", ";
        names += row.name_;
    }
    return names;
}

} // namespace almondridge
