/**
 * Engine fleets for tests.
 */
#pragma once

#include "almondridge/gateway/endpoints.h"

#include <algorithm>
#include <array>
#include <string>

namespace almondridge::gateway::testing {

inline const ServiceId Models("models");

inline TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + millis(1'000'000 + milliseconds);
}

inline ListedEndpoint engine(int number, Stage stage, const std::string &domain = "a")
{
    ListedEndpoint listed;
    listed.id_ = EndpointId("engine-" + std::to_string(number));
    listed.service_ = Models;
    listed.address_ = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)};
    listed.domain_ = DomainId(domain);
    listed.version_ = SoftwareVersion("v1");
    listed.slots_ = 64;
    listed.stage_ = stage;
    return listed;
}

/** A fleet of prefill engines, then decode engines, spread over three failure domains. */
inline EndpointTable fleet(int prefill, int decode)
{
    constexpr std::array<const char *, 3> Domains {"a", "b", "c"};
    EndpointTable table;
    for (int number = 0; number < prefill + decode; ++number) {
        const Stage stage = number < prefill ? Stage::Prefill : Stage::Decode;
        table.list(engine(number, stage, Domains[number % Domains.size()]), at(0));
    }
    return table;
}

inline int countPrefill(const EndpointTable &table)
{
    int count = 0;
    for (const Endpoint *one : table.listed(Models)) {
        count += one->listed_.stage_ == Stage::Prefill ? 1 : 0;
    }
    return count;
}

} // namespace almondridge::gateway::testing
