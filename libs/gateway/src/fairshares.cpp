#include "almondridge/gateway/fairshares.h"

#include <algorithm>

namespace almondridge::gateway {

std::vector<double> maxMinShares(double room, const std::vector<AskedShare> &asked)
{
    std::vector<double> shares(asked.size(), 0);
    std::vector<std::size_t> order;
    order.reserve(asked.size());
    double weights = 0;
    for (std::size_t index = 0; index < asked.size(); ++index) {
        if (asked[index].asked_ > 0 && asked[index].weight_ > 0) {
            order.push_back(index);
            weights += asked[index].weight_;
        }
    }
    // Those that ask for least by weight are served first; the level of the others only rises.
    std::sort(order.begin(), order.end(), [&asked](std::size_t left, std::size_t right) {
        return asked[left].asked_ * asked[right].weight_
               < asked[right].asked_ * asked[left].weight_;
    });
    double left = std::max(0.0, room);
    for (const std::size_t index : order) {
        const AskedShare &participant = asked[index];
        const double part = std::min(1.0, participant.weight_ / weights);
        shares[index] = std::min(participant.asked_, left * part);
        left = std::max(0.0, left - shares[index]);
        weights -= participant.weight_;
        if (weights <= 0) {
            weights = participant.weight_;
        }
    }
    return shares;
}

} // namespace almondridge::gateway
