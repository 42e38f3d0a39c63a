#include "fairqueue.h"

#include <algorithm>

namespace almondridge::admission {
namespace {

/** From this number on, idle accounts whose tags are not ahead of virtual time are dropped. */
constexpr std::size_t MaxFlows = 8'192;

} // namespace

void FairQueue::charge(const AccountId &account, double weight, std::int64_t tokens)
{
    dropIdleFlows();
    const double startTag = assignTags(flows_[account], weight, tokens);
    virtualTime_ = std::max(virtualTime_, startTag);
}

void FairQueue::adjust(const AccountId &account, double weight, std::int64_t tokens)
{
    const auto flow = flows_.find(account);
    if (flow != flows_.end()) {
        flow->second.finishTag_ += static_cast<double>(tokens) / weight;
    }
}

void FairQueue::push(const QueuedRequest &request)
{
    dropIdleFlows();
    Flow &flow = flows_[request.account_];
    const double startTag = assignTags(flow, request.weight_, request.tokens_);
    if (flow.tickets_.empty()) {
        flow.weight_ = request.weight_;
        activeWeight_ += flow.weight_;
        heads_.emplace(startTag, request.ticket_);
    }
    flow.tickets_.push_back(request.ticket_);
    flow.tokens_ += request.tokens_;
    tokens_ += request.tokens_;
    byUrgency_.emplace(request.latestFirstToken_, request.ticket_);
    requests_.emplace(request.ticket_, Entry {request, startTag});
}

const QueuedRequest *FairQueue::head() const
{
    return heads_.empty() ? nullptr : &requests_.at(heads_.begin()->second).request_;
}

QueuedRequest FairQueue::popHead()
{
    const auto [startTag, ticket] = *heads_.begin();
    virtualTime_ = std::max(virtualTime_, startTag);
    return extract(ticket);
}

QueuedRequest FairQueue::remove(Ticket ticket)
{
    QueuedRequest request = extract(ticket);
    adjust(request.account_, request.weight_, -request.tokens_);
    return request;
}

const QueuedRequest *FairQueue::mostUrgent() const
{
    return byUrgency_.empty() ? nullptr : &requests_.at(byUrgency_.begin()->second).request_;
}

Ticket FairQueue::evictionCandidate() const
{
    const auto mostOverShare =
        std::max_element(flows_.begin(), flows_.end(), [](const auto &left, const auto &right) {
            return static_cast<double>(left.second.tickets_.size()) / left.second.weight_
                   < static_cast<double>(right.second.tickets_.size()) / right.second.weight_;
        });
    return mostOverShare->second.tickets_.back();
}

std::size_t FairQueue::sizeOf(const AccountId &account) const
{
    const auto flow = flows_.find(account);
    return flow == flows_.end() ? 0 : flow->second.tickets_.size();
}

double FairQueue::shareOf(const AccountId &account, double weight) const
{
    const bool active = sizeOf(account) > 0;
    return weight / (activeWeight_ + (active ? 0 : weight));
}

double FairQueue::tokensAhead(const AccountId &account, double weight) const
{
    const auto flow = flows_.find(account);
    if (flow == flows_.end()) {
        return 0;
    }
    // While the account's tokens ahead of virtual time are served, other accounts get their shares.
    const double lead = std::max(flow->second.finishTag_ - virtualTime_, 0.0) * weight;
    return std::min(lead / shareOf(account, weight), static_cast<double>(tokens_));
}

double FairQueue::assignTags(Flow &flow, double weight, std::int64_t tokens)
{
    const double startTag = std::max(virtualTime_, flow.finishTag_);
    flow.finishTag_ = startTag + static_cast<double>(tokens) / weight;
    return startTag;
}

QueuedRequest FairQueue::extract(Ticket ticket)
{
    const Entry entry = requests_.at(ticket);
    requests_.erase(ticket);
    byUrgency_.erase({entry.request_.latestFirstToken_, ticket});
    Flow &flow = flows_[entry.request_.account_];
    const bool first = flow.tickets_.front() == ticket;
    flow.tickets_.erase(std::find(flow.tickets_.begin(), flow.tickets_.end(), ticket));
    flow.tokens_ -= entry.request_.tokens_;
    tokens_ -= entry.request_.tokens_;
    if (first) {
        heads_.erase({entry.startTag_, ticket});
        if (flow.tickets_.empty()) {
            activeWeight_ = requests_.empty() ? 0 : activeWeight_ - flow.weight_;
        } else {
            heads_.emplace(requests_.at(flow.tickets_.front()).startTag_, flow.tickets_.front());
        }
    }
    return entry.request_;
}

void FairQueue::dropIdleFlows()
{
    if (flows_.size() < MaxFlows) {
        return;
    }
    std::erase_if(flows_, [&](const auto &entry) {
        return entry.second.tickets_.empty() && entry.second.finishTag_ <= virtualTime_;
    });
}

} // namespace almondridge::admission
