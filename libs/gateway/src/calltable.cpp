#include "calltable.h"

#include "call.h"

#include <vector>

namespace almondridge::gateway {

CallTable::CallTable(async::EventLoop &loop)
    : loop_(loop)
{ }

CallTable::~CallTable() = default;

void CallTable::add(CallNumber number, std::unique_ptr<Call> call)
{
    calls_[number] = std::move(call);
}

Call *CallTable::find(CallNumber number) const
{
    const auto found = calls_.find(number);
    return found != calls_.end() ? found->second.get() : nullptr;
}

void CallTable::end(CallNumber number)
{
    auto ended = calls_.extract(number);
    if (!ended.empty()) {
        loop_.post([call = std::shared_ptr<Call>(std::move(ended.mapped()))] {});
    }
}

void CallTable::forEach(const std::function<void(Call &call)> &visit) const
{
    std::vector<CallNumber> numbers;
    numbers.reserve(calls_.size());
    for (const auto &[number, call] : calls_) {
        numbers.push_back(number);
    }
    for (const CallNumber number : numbers) {
        if (Call *call = find(number)) {
            visit(*call);
        }
    }
}

} // namespace almondridge::gateway
