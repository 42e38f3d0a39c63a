/**
 * Parsing of JSON files, and collection of errors with the path of the field concerned.
 */
#pragma once

#include "almondridge/base/error.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::fleet {

/** For parsing: based on std::map, so that a hostile file with a million keys stays cheap. */
using Json = nlohmann::json;
/** For writing: keeps the order of the field tables. */
using OrderedJson = nlohmann::ordered_json;

/** The path of a value in a file, and the list that its errors are added to. */
class FieldContext
{
public:
    /** The root of a file. errors must outlive this object. */
    explicit FieldContext(std::vector<FieldError> &errors)
        : errors_(&errors)
    { }

    FieldContext member(std::string_view key) const;
    FieldContext element(std::size_t index) const;

    /** Adds an error that shows the value. */
    void addError(const Json &value, std::string remedy) const;
    void addErrorText(std::string value, std::string remedy) const;
    void addMissingError(const std::string &remedy) const;
    /** Adds an error without the value, which may be a key or password. */
    void addSecretError(std::string remedy) const;

private:
    FieldContext(std::vector<FieldError> &errors, std::string path)
        : errors_(&errors)
        , path_(std::move(path))
    { }

    std::vector<FieldError> *errors_;
    std::string path_;
};

/**
 * Parses JSON text. Besides invalid JSON it refuses duplicate keys in an object (JSON parsers
 * disagree on which one counts), files over 16 MiB and nesting beyond 16 levels.
 */
Result<Json> parseJson(std::string_view text);

/** Fails with InvalidInput if there are errors. what names the file, as in "fleet file". */
Result<void> failOnErrors(std::vector<FieldError> errors, std::string_view what);

} // namespace almondridge::fleet
