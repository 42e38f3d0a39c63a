#include "fieldcontext.h"

#include <array>
#include <functional>
#include <set>

namespace almondridge::fleet {
namespace {

constexpr std::size_t MaxFileBytes = std::size_t {16} << 20;
constexpr int MaxDepth = 16;
constexpr std::size_t MaxShownBytes = 60;

/** The text shortened and without control characters, to be safe on a terminal. */
std::string printable(std::string_view text)
{
    const bool cut = text.size() > MaxShownBytes;
    std::string result(text.substr(0, MaxShownBytes));
    for (char &letter : result) {
        const auto code = static_cast<unsigned char>(letter);
        if (code < 0x20 || code >= 0x7f) {
            letter = '?';
        }
    }
    return cut ? result + "..." : result;
}

std::string printableValue(const Json &value)
{
    if (value.is_object()) {
        return "(object)";
    }
    if (value.is_array()) {
        return "(list)";
    }
    if (value.is_string()) {
        return '"' + printable(value.get_ref<const std::string &>()) + '"';
    }
    return value.dump();
}

/** Parser callback that detects duplicate keys and excessive nesting. */
class ParseChecker
{
public:
    explicit ParseChecker(std::vector<FieldError> &errors)
        : errors_(&errors)
    { }

    bool operator()(int depth, Json::parse_event_t event, const Json &parsed)
    {
        if (depth > MaxDepth) {
            reportTooDeep();
            return false;
        }
        if (event == Json::parse_event_t::object_start) {
            keys_[static_cast<std::size_t>(depth)].clear();
        }
        if (event == Json::parse_event_t::key) {
            checkDuplicateKey(static_cast<std::size_t>(depth),
                              parsed.get_ref<const std::string &>());
        }
        return true;
    }

private:
    void reportTooDeep()
    {
        if (!tooDeep_) {
            errors_->push_back({"(file)", "nested too deep", "nest at most 16 levels"});
        }
        tooDeep_ = true;
    }

    void checkDuplicateKey(std::size_t depth, const std::string &key)
    {
        // The depth of a key is one more than that of its object's start.
        if (!keys_[depth - 1].insert(key).second) {
            errors_->push_back({printable(key), "(duplicate key)", "keep one of the two"});
        }
    }

    std::vector<FieldError> *errors_;
    std::array<std::set<std::string>, MaxDepth + 1> keys_ {};
    bool tooDeep_ = false;
};

} // namespace

FieldContext FieldContext::member(std::string_view key) const
{
    return {*errors_, path_.empty() ? printable(key) : path_ + "." + printable(key)};
}

FieldContext FieldContext::element(std::size_t index) const
{
    return {*errors_, path_ + "[" + std::to_string(index) + "]"};
}

void FieldContext::addError(const Json &value, std::string remedy) const
{
    addErrorText(printableValue(value), std::move(remedy));
}

void FieldContext::addErrorText(std::string value, std::string remedy) const
{
    errors_->push_back({path_.empty() ? "(file)" : path_, std::move(value), std::move(remedy)});
}

void FieldContext::addMissingError(const std::string &remedy) const
{
    addErrorText("(missing)", "add it: " + remedy);
}

void FieldContext::addSecretError(std::string remedy) const
{
    addErrorText("(not shown)", std::move(remedy));
}

Result<Json> parseJson(std::string_view text)
{
    if (text.size() > MaxFileBytes) {
        return fail(ErrorKind::InvalidInput, "the file is longer than 16 MiB", "shorten it");
    }
    std::vector<FieldError> errors;
    ParseChecker checker(errors);
    Json json;
    try {
        json = Json::parse(text, std::ref(checker));
    } catch (const Json::exception &failure) {
        return fail(ErrorKind::InvalidInput, "not JSON: " + std::string(failure.what()),
                    "correct the file at the position given");
    }
    BOOST_LEAF_CHECK(failOnErrors(std::move(errors), "file"));
    return json;
}

Result<void> failOnErrors(std::vector<FieldError> errors, std::string_view what)
{
    if (errors.empty()) {
        return {};
    }
    const std::string count = std::to_string(errors.size());
    return fail(Error {ErrorKind::InvalidInput,
                       count + " wrong field" + (errors.size() == 1 ? "" : "s") + " in the "
                           + std::string(what),
                       "correct the listed fields and try again", std::move(errors)});
}

} // namespace almondridge::fleet
