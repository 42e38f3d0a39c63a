/**
 * Where a value stands in a JSON file, and the list that its errors go to.
 */
#pragma once

#include "almondridge/base/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::fleet {

/** For reading: std::map inside, so that a hostile file with a million keys stays cheap. */
using Json = nlohmann::json;
/** For writing: keeps the order of the tables of fields. */
using OrderedJson = nlohmann::ordered_json;

class FieldReader
{
public:
    /** The root of a file. errors must outlive the reader. */
    explicit FieldReader(std::vector<FieldError> &errors)
        : errors_(&errors)
    { }

    FieldReader member(std::string_view key) const;
    FieldReader element(std::size_t index) const;

    void refuse(const Json &value, std::string remedy) const;
    void refuseText(std::string value, std::string remedy) const;
    void refuseMissing(const std::string &remedy) const;
    /** Keeps the value out of the error: it may be a key or password. */
    void refuseSecret(std::string remedy) const;

private:
    FieldReader(std::vector<FieldError> &errors, std::string path)
        : errors_(&errors)
        , path_(std::move(path))
    { }

    std::vector<FieldError> *errors_;
    std::string path_;
};

/**
 * Reads JSON text. Beside what JSON itself forbids it refuses keys that stand twice in an object
 * (JSON readers disagree on which one counts), files over 16 MiB and nesting beyond 16 levels.
 */
Result<Json> parseJson(std::string_view text);

/** Fails with all errors when there are any. what names the file, as in "fleet file". */
Result<void> failOnErrors(std::vector<FieldError> errors, std::string_view what);

} // namespace almondridge::fleet
