#include "common/fieldtable.h"

namespace almondridge::standins {

boost::leaf::error_id wrongField(std::string_view name, const Json &value,
                                 std::string_view expected)
{
    return fail(ErrorKind::InvalidInput,
                "'" + std::string(name) + "' is " + value.dump().substr(0, 80),
                "give " + std::string(expected));
}

Result<void> readValue(std::string_view name, const Json &value, bool &target)
{
    if (!value.is_boolean()) {
        return wrongField(name, value, "true or false");
    }
    target = value.get<bool>();
    return {};
}

Result<void> readValue(std::string_view name, const Json &value, int &target)
{
    if (!value.is_number_integer()) {
        return wrongField(name, value, "a whole number");
    }
    target = value.get<int>();
    return {};
}

Result<void> readValue(std::string_view name, const Json &value, std::int64_t &target)
{
    if (!value.is_number_integer()) {
        return wrongField(name, value, "a whole number");
    }
    target = value.get<std::int64_t>();
    return {};
}

Result<void> readValue(std::string_view name, const Json &value, double &target)
{
    if (!value.is_number()) {
        return wrongField(name, value, "a number");
    }
    target = value.get<double>();
    return {};
}

Result<void> readValue(std::string_view name, const Json &value, std::string &target)
{
    if (!value.is_string()) {
        return wrongField(name, value, "a string");
    }
    target = value.get<std::string>();
    return {};
}

} // namespace almondridge::standins
