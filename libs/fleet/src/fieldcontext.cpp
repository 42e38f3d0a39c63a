#include "fieldcontext.h"

#include <array>
#include <functional>
#include <set>

namespace almondridge::fleet {
namespace {

constexpr std::size_t MaxFileBytes = std::size_t {16} << 20;
constexpr int MaxDepth = 16;
constexpr std::size_t MaxShownBytes = 60;

/** Text as it may go to a terminal: short, without control characters. */
std::string shown(std::string_view text)
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

std::string shownValue(const Json &value)
{
    if (value.is_object()) {
        return "(object)";
    }
    if (value.is_array()) {
        return "(list)";
    }
    if (value.is_string()) {
        return '"' + shown(value.get_ref<const std::string &>()) + '"';
    }
    return value.dump();
}

/** Notes duplicate keys and too deep nesting while the library parses. */
class ParseWatch
{
public:
    explicit ParseWatch(std::vector<FieldError> &errors)
        : errors_(&errors)
    { }

    bool operator()(int depth, Json::parse_event_t event, const Json &parsed)
    {
        if (depth > MaxDepth) {
            noteTooDeep();
            return false;
        }
        if (event == Json::parse_event_t::object_start) {
            keys_[static_cast<std::size_t>(depth)].clear();
        }
        if (event == Json::parse_event_t::key) {
            noteKey(static_cast<std::size_t>(depth), parsed.get_ref<const std::string &>());
        }
        return true;
    }

private:
    void noteTooDeep()
    {
        if (!tooDeep_) {
            errors_->push_back({"(file)", "nested too deep", "nest at most 16 levels"});
        }
        tooDeep_ = true;
    }

    void noteKey(std::size_t depth, const std::string &key)
    {
        // A key event comes one level deeper than the start of its object.
        if (!keys_[depth - 1].insert(key).second) {
            errors_->push_back({shown(key), "(stands twice)", "keep one of the two"});
        }
    }

    std::vector<FieldError> *errors_;
    std::array<std::set<std::string>, MaxDepth + 1> keys_ {};
    bool tooDeep_ = false;
};

} // namespace

FieldReader FieldReader::member(std::string_view key) const
{
    return {*errors_, path_.empty() ? shown(key) : path_ + "." + shown(key)};
}

FieldReader FieldReader::element(std::size_t index) const
{
    return {*errors_, path_ + "[" + std::to_string(index) + "]"};
}

void FieldReader::refuse(const Json &value, std::string remedy) const
{
    refuseText(shownValue(value), std::move(remedy));
}

void FieldReader::refuseText(std::string value, std::string remedy) const
{
    errors_->push_back({path_.empty() ? "(file)" : path_, std::move(value), std::move(remedy)});
}

void FieldReader::refuseMissing(const std::string &remedy) const
{
    refuseText("(missing)", "add it: " + remedy);
}

void FieldReader::refuseSecret(std::string remedy) const
{
    refuseText("(not shown)", std::move(remedy));
}

Result<Json> parseJson(std::string_view text)
{
    if (text.size() > MaxFileBytes) {
        return fail(ErrorKind::InvalidInput, "the file is longer than 16 MiB", "shorten it");
    }
    std::vector<FieldError> errors;
    ParseWatch watch(errors);
    Json json;
    try {
        json = Json::parse(text, std::ref(watch));
    } catch (const Json::exception &failure) {
        return fail(ErrorKind::InvalidInput, "not JSON: " + std::string(failure.what()),
                    "mend the file at the place named");
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
                       "mend the fields listed and try again", std::move(errors)});
}

} // namespace almondridge::fleet
