/**
 * Start-time fair queueing of requests by account, weighted by tokens: each request gets a start
 * tag in virtual time, and the lowest tag is served next. The tags of an account that sends much
 * are ahead of virtual time; an account that sends little starts at virtual time and cannot starve.
 */
#pragma once

#include "almondridge/admission/admission.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace almondridge::admission {

/** A request that waits for capacity. */
struct QueuedRequest
{
    Ticket ticket_ = 0;
    AccountId account_;
    double weight_ = 1;             ///< Of the account, with priority.
    std::int64_t tokens_ = 0;       ///< Estimated.
    TimePoint latestFirstToken_ {}; ///< Deadline for the first token; max(): none.
};

/** A queue with one flow per account. */
class FairQueue
{
public:
    /** Charges the account for a request that was admitted without queueing. */
    void charge(const AccountId &account, double weight, std::int64_t tokens);
    /** Charges the difference between used and estimated tokens; may be negative. */
    void adjust(const AccountId &account, double weight, std::int64_t tokens);

    void push(const QueuedRequest &request);
    /** The request to serve next; null if the queue is empty. */
    const QueuedRequest *head() const;
    QueuedRequest popHead();
    /** Removes a request that will not run and refunds its tokens. */
    QueuedRequest remove(Ticket ticket);
    /** The request with the earliest latestFirstToken_; null if the queue is empty. */
    const QueuedRequest *mostUrgent() const;
    /** The newest request of the account with the most queued requests per weight. */
    Ticket evictionCandidate() const;

    bool empty() const { return requests_.empty(); }
    std::size_t size() const { return requests_.size(); }
    std::int64_t tokens() const { return tokens_; }
    std::size_t sizeOf(const AccountId &account) const;
    /** Whether a request of another account is queued. */
    bool hasOtherAccounts(const AccountId &account) const { return sizeOf(account) < size(); }
    /** The account's part, 0 to 1, of the weights of all queued accounts, itself included. */
    double shareOf(const AccountId &account, double weight) const;
    /** Tokens served before a new request of the account, if all other accounts keep sending. */
    double tokensAhead(const AccountId &account, double weight) const;

private:
    /** A queued request and its position in virtual time. */
    struct Entry
    {
        QueuedRequest request_;
        double startTag_ = 0;
    };

    /** The queued requests of one account. */
    struct Flow
    {
        std::deque<Ticket> tickets_;
        std::int64_t tokens_ = 0;
        double weight_ = 1; ///< As counted in activeWeight_ while tickets_ is not empty.
        double finishTag_ = 0;
    };

    double assignTags(Flow &flow, double weight, std::int64_t tokens);
    QueuedRequest extract(Ticket ticket);
    void dropIdleFlows();

    std::unordered_map<Ticket, Entry> requests_;
    std::unordered_map<AccountId, Flow> flows_;
    std::set<std::pair<double, Ticket>> heads_; ///< Start tag of each flow's first request.
    std::set<std::pair<TimePoint, Ticket>> byUrgency_;
    double virtualTime_ = 0;
    double activeWeight_ = 0; ///< Sum over accounts with queued requests.
    std::int64_t tokens_ = 0;
};

} // namespace almondridge::admission
