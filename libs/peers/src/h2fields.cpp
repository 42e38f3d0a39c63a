#include "h2fields.h"

#include <array>
#include <charconv>
#include <string>

namespace almondridge::peers {
namespace {

/** A field of a message and its name on the wire. */
struct FieldName
{
    std::string_view name_;
    std::string H2Message::*field_;
};

constexpr std::array<FieldName, 3> RequestFields {{
    {":method", &H2Message::method_},
    {":path", &H2Message::path_},
    {":authority", &H2Message::authority_},
}};

constexpr std::array<FieldName, 6> CommonFields {{
    {"x-instance", &H2Message::instance_},
    {"x-domain", &H2Message::domain_},
    {"x-time", &H2Message::time_},
    {"x-clock", &H2Message::clock_},
    {"x-nonce", &H2Message::nonce_},
    {"x-proof", &H2Message::proof_},
}};

std::string H2Message::*findField(std::string_view name) noexcept
{
    for (const FieldName &field : CommonFields) {
        if (field.name_ == name) {
            return field.field_;
        }
    }
    for (const FieldName &field : RequestFields) {
        if (field.name_ == name) {
            return field.field_;
        }
    }
    return nullptr;
}

nghttp2_nv toNameValue(std::string_view name, const std::string &value)
{
    // nghttp2 takes non-const pointers, but only copies from them.
    auto *const nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    auto *const valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void appendPairs(std::vector<nghttp2_nv> &pairs, const H2Message &message)
{
    for (const FieldName &field : CommonFields) {
        const std::string &value = message.*field.field_;
        if (!value.empty()) {
            pairs.push_back(toNameValue(field.name_, value));
        }
    }
}

} // namespace

std::vector<nghttp2_nv> requestFields(const H2Message &message)
{
    static const std::string scheme = "http";
    std::vector<nghttp2_nv> pairs;
    pairs.reserve(RequestFields.size() + 1 + CommonFields.size());
    for (const FieldName &field : RequestFields) {
        pairs.push_back(toNameValue(field.name_, message.*field.field_));
    }
    pairs.push_back(toNameValue(":scheme", scheme));
    appendPairs(pairs, message);
    return pairs;
}

std::vector<nghttp2_nv> answerFields(const H2Message &message, const std::string &status)
{
    std::vector<nghttp2_nv> pairs {toNameValue(":status", status)};
    appendPairs(pairs, message);
    return pairs;
}

void setField(H2Message &message, std::string_view name, std::string_view value)
{
    if (name == ":status") {
        std::from_chars(value.data(), value.data() + value.size(), message.status_);
    } else if (std::string H2Message::*field = findField(name)) {
        message.*field = value;
    }
}

} // namespace almondridge::peers
