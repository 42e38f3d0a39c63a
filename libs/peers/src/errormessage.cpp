#include "errormessage.h"

#include "heartbeat.h"

namespace almondridge::peers {
namespace {

struct KindStatus
{
    ErrorKind kind_;
    int status_;
};

constexpr std::array<KindStatus, 12> KindStatuses {{
    {ErrorKind::InvalidInput, 400},
    {ErrorKind::NotFound, 404},
    {ErrorKind::Conflict, 409},
    {ErrorKind::Unauthorized, StatusUnauthorized},
    {ErrorKind::StaleFence, 409},
    {ErrorKind::Unavailable, 503},
    {ErrorKind::Interrupted, 502},
    {ErrorKind::TimedOut, 504},
    {ErrorKind::Overloaded, 429},
    {ErrorKind::Trimmed, 410},
    {ErrorKind::Protocol, 502},
    {ErrorKind::Internal, 500},
}};

constexpr std::size_t ErrorFields = 3;

} // namespace

int statusOf(ErrorKind kind) noexcept
{
    for (const KindStatus &row : KindStatuses) {
        if (row.kind_ == kind) {
            return row.status_;
        }
    }
    return 500;
}

std::string encodeError(const Error &error)
{
    return encodeCbor(nlohmann::json::array(
        {std::string(nameOf(ErrorKindNames, error.kind_)), error.message_, error.remedy_}));
}

Error decodeError(int status, std::string_view body)
{
    const std::optional<nlohmann::json> value = decodeCbor(body);
    const bool wellFormed = value && value->is_array() && value->size() >= ErrorFields
                            && (*value)[0].is_string() && (*value)[1].is_string()
                            && (*value)[2].is_string();
    if (!wellFormed) {
        return {ErrorKind::Protocol,
                "unreadable error from a peer with HTTP status " + std::to_string(status),
                "run the same version of almondridge on all entry instances"};
    }
    const auto kind = valueOf(ErrorKindNames, (*value)[0].get_ref<const std::string &>());
    return {kind.value_or(ErrorKind::Protocol), (*value)[1].get<std::string>(),
            (*value)[2].get<std::string>()};
}

} // namespace almondridge::peers
