#include "almondridge/gateway/shareadmission.h"

#include "almondridge/gateway/fairshares.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

constexpr Duration Window = millis(1'000);
constexpr Duration SliceLength = millis(50);
constexpr Duration ComputeInterval = millis(50);
constexpr Duration ReportLifetime = millis(1'500);
/** Sequence numbers are kept beyond the report, so that a late copy of it doesn't count again. */
constexpr Duration PeerMemory = millis(60'000);
/** Debts are kept for accounts that send few requests to this instance. */
constexpr Duration AccountMemory = millis(60'000);
constexpr Duration SweepInterval = millis(1'000);
constexpr Duration LargestPeriod = millis(2'000);
/** A refused session is expected back within the longest Retry-After (3 s) and a second. */
constexpr Duration SessionMemory = millis(4'000);
constexpr Duration SessionDecay = millis(2'000);
constexpr std::size_t MaxOwnAccounts = 4'096;
/** Own accounts and those that peers list. */
constexpr std::size_t MaxAccounts = 16'384;
constexpr std::size_t MaxSessions = 64;
constexpr double BurstSeconds = 0.3;
constexpr double MinRetryMillis = 200;
constexpr double MaxRetryMillis = 2'000;
/** Relative difference of sums that is due to rounding. */
constexpr double Rounding = 1e-9;

std::int64_t sliceAt(TimePoint now)
{
    return now.time_since_epoch() / SliceLength;
}

/** Uniform in 0 to 1; which: 0 for the upper, 1 for the lower half of the bits. */
double fraction(std::uint64_t random, int which)
{
    const std::uint64_t bits = which == 0 ? random >> 32U : random & 0xffffffffU;
    return static_cast<double>(bits) / 4'294'967'296.0;
}

} // namespace

void ShareAdmission::WorkWindow::add(double workMillis, TimePoint now)
{
    const std::int64_t slice = std::max(newest_, sliceAt(now));
    if (slice - newest_ >= static_cast<std::int64_t>(Slices)) {
        work_.fill(0);
    } else {
        for (std::int64_t passed = newest_ + 1; passed <= slice; ++passed) {
            work_[static_cast<std::size_t>(passed) % Slices] = 0;
        }
    }
    newest_ = slice;
    work_[static_cast<std::size_t>(slice) % Slices] += workMillis;
}

double ShareAdmission::WorkWindow::perSecond(TimePoint now) const
{
    const std::int64_t slice = std::max(newest_, sliceAt(now));
    const std::int64_t oldest = slice - static_cast<std::int64_t>(Slices) + 1;
    double sum = 0;
    for (std::int64_t index = std::max<std::int64_t>(oldest + 1, 0); index <= newest_; ++index) {
        sum += work_[static_cast<std::size_t>(index) % Slices];
    }
    if (oldest >= 0 && oldest <= newest_ && newest_ - oldest < static_cast<int>(Slices)) {
        const double passed =
            toSeconds(now.time_since_epoch() % SliceLength) / toSeconds(SliceLength);
        sum += work_[static_cast<std::size_t>(oldest) % Slices] * (1 - passed);
    }
    return sum / toSeconds(Window);
}

void ShareAdmission::setRoom(const ServiceId &service, double room)
{
    services_[service].room_ = std::max(0.0, room);
}

void ShareAdmission::setInstances(int count)
{
    instances_ = std::max(1, count);
}

bool ShareAdmission::isFresh(const Peer &peer, TimePoint now)
{
    return now < peer.receivedAt_ + ReportLifetime;
}

ShareAdmission::Contribution
ShareAdmission::contributionOf(const std::vector<AccountDemand> &demand)
{
    Contribution contribution;
    // An account that isn't listed asks for no more than the least of all that are listed.
    double least = -1;
    for (const AccountDemand &account : demand) {
        contribution.asked_ += account.asked_;
        if (account.account_.empty()) {
            contribution.ranks_[account.rank_].rest_ += account.asked_;
        } else {
            least = least < 0 ? account.asked_ : std::min(least, account.asked_);
        }
    }
    for (auto &[rank, sums] : contribution.ranks_) {
        sums.bound_ = least < 0 ? sums.rest_ : std::min(sums.rest_, least);
    }
    for (const AccountDemand &account : demand) {
        if (!account.account_.empty()) {
            const auto sums = contribution.ranks_.find(account.rank_);
            const bool hasRest = sums != contribution.ranks_.end();
            contribution.accounts_.push_back({{account.rank_, account.account_},
                                              account.asked_,
                                              hasRest ? sums->second.rest_ : 0,
                                              hasRest ? sums->second.bound_ : 0});
        }
    }
    return contribution;
}

void ShareAdmission::add(const ServiceId &id, const Contribution &contribution)
{
    Service &service = services_[id];
    for (const auto &[rank, sums] : contribution.ranks_) {
        service.ranks_[rank].rest_ += sums.rest_;
        service.ranks_[rank].bound_ += sums.bound_;
    }
    for (const ListedAccount &listed : contribution.accounts_) {
        Account &account = service.accounts_[listed.key_];
        account.key_ = listed.key_;
        ++account.reports_;
        account.peersAsked_ += listed.asked_;
        account.restBeside_ += listed.rest_;
        account.boundBeside_ += listed.bound_;
    }
}

void ShareAdmission::remove(const ServiceId &id, const Contribution &contribution)
{
    Service &service = services_[id];
    for (const auto &[rank, sums] : contribution.ranks_) {
        RankSums &total = service.ranks_[rank];
        total.rest_ = std::max(0.0, total.rest_ - sums.rest_);
        total.bound_ = std::max(0.0, total.bound_ - sums.bound_);
    }
    for (const ListedAccount &listed : contribution.accounts_) {
        const auto found = service.accounts_.find(listed.key_);
        if (found == service.accounts_.end()) {
            continue;
        }
        Account &account = found->second;
        if (--account.reports_ > 0) {
            account.peersAsked_ = std::max(0.0, account.peersAsked_ - listed.asked_);
            account.restBeside_ = std::max(0.0, account.restBeside_ - listed.rest_);
            account.boundBeside_ = std::max(0.0, account.boundBeside_ - listed.bound_);
            continue;
        }
        account.peersAsked_ = 0; // Exact, so that rounding errors don't add up.
        account.restBeside_ = 0;
        account.boundBeside_ = 0;
        if (!account.own_) {
            service.accounts_.erase(found);
        }
    }
}

void ShareAdmission::onReport(const ShareReport &report, TimePoint now)
{
    const auto known = peers_.find(report.sender_);
    if (known != peers_.end()
        && std::pair(report.lifetime_, report.sequence_)
               <= std::pair(known->second.lifetime_, known->second.sequence_)) {
        return;
    }
    Peer &peer = peers_[report.sender_];
    for (const auto &[id, contribution] : peer.demand_) {
        remove(id, contribution);
    }
    if (peer.heard_) {
        heard_.erase(*peer.heard_);
    }
    peer = {
        report.lifetime_, report.sequence_, now, heard_.insert(heard_.end(), report.sender_), {}};
    for (const auto &[id, demand] : report.demand_) {
        std::vector<AccountDemand> counted = demand;
        const Service &service = services_[id];
        for (AccountDemand &account : counted) {
            const bool isKnown = service.accounts_.contains({account.rank_, account.account_});
            if (!isKnown && service.accounts_.size() >= MaxAccounts) {
                account.account_ = AccountId();
            }
        }
        add(id, peer.demand_.emplace(id, contributionOf(counted)).first->second);
    }
}

void ShareAdmission::removeExpired(TimePoint now)
{
    while (!heard_.empty() && !isFresh(peers_.at(heard_.front()), now)) {
        Peer &peer = peers_.at(heard_.front());
        for (const auto &[id, contribution] : peer.demand_) {
            remove(id, contribution);
        }
        peer.demand_.clear();
        peer.heard_.reset();
        heard_.pop_front();
    }
    if (now >= forgetAt_) {
        forgetAt_ = now + SweepInterval;
        std::erase_if(peers_, [now](const auto &row) {
            return !row.second.heard_ && now >= row.second.receivedAt_ + PeerMemory;
        });
    }
}

bool ShareAdmission::hearsPeers(TimePoint now) const
{
    return !heard_.empty() && isFresh(peers_.at(heard_.back()), now);
}

double ShareAdmission::usableRoom(double room, TimePoint now) const
{
    return instances_ == 1 || hearsPeers(now) ? room : room / instances_;
}

ShareAdmission::Account &ShareAdmission::ownAccount(Service &service, const ShareRequest &request,
                                                    TimePoint now)
{
    AccountKey key(request.rank_, request.account_);
    auto found = service.accounts_.find(key);
    const bool isOwn = found != service.accounts_.end() && found->second.own_;
    if (!isOwn && service.ownAccounts_ >= MaxOwnAccounts) {
        key.second = AccountId();
        found = service.accounts_.find(key);
    }
    if (found == service.accounts_.end()) {
        found = service.accounts_.try_emplace(key).first;
        found->second.key_ = key;
    }
    Account &account = found->second;
    if (!account.own_) {
        account.own_ = OwnDemand {};
        ++service.ownAccounts_;
    }
    account.own_->askedAt_ = now;
    return account;
}

void ShareAdmission::sweep(Service &service, TimePoint now)
{
    if (now < service.sweepAt_) {
        return;
    }
    service.sweepAt_ = now + SweepInterval;
    for (auto row = service.accounts_.begin(); row != service.accounts_.end();) {
        Account &account = row->second;
        if (account.own_ && now >= account.own_->askedAt_ + AccountMemory) {
            account.own_.reset();
            --service.ownAccounts_;
        }
        const bool isUsed = account.own_ || account.reports_ > 0;
        row = isUsed ? std::next(row) : service.accounts_.erase(row);
    }
}

std::map<int, std::vector<ShareAdmission::Account *>> ShareAdmission::sumDemand(Service &service,
                                                                                TimePoint now)
{
    std::map<int, std::vector<Account *>> ranks;
    for (const auto &[rank, sums] : service.ranks_) {
        ranks[rank];
    }
    for (auto &[key, account] : service.accounts_) {
        account.ownAsked_ = account.own_ ? account.own_->asked_.perSecond(now) : 0;
        account.asked_ = account.ownAsked_ + account.peersAsked_;
        account.share_ = 0;
        ranks[key.first].push_back(&account);
    }
    return ranks;
}

/**
 * Peers sum the accounts that they don't list. That sum is attributed to the accounts that this
 * instance sees, in proportion to its own demand, as if callers were spread alike. An account is
 * part of the rest of only those peers that don't list it, and each of them has no more of it than
 * of an account that it lists. Without this, accounts that are in the middle everywhere would
 * seem small to all instances. Returns what is not attributed.
 */
double ShareAdmission::attributeRest(const std::vector<Account *> &accounts, const RankSums &sums)
{
    if (sums.rest_ <= 0) {
        return 0;
    }
    double weights = 0;
    for (const Account *account : accounts) {
        weights += account->ownAsked_ * std::max(0.0, sums.rest_ - account->restBeside_);
    }
    double left = sums.rest_;
    for (Account *account : accounts) {
        const double weight = account->ownAsked_ * std::max(0.0, sums.rest_ - account->restBeside_);
        if (weight > 0) {
            const double bound = std::max(0.0, sums.bound_ - account->boundBeside_);
            const double part = std::min(bound, sums.rest_ * weight / weights);
            account->asked_ += part;
            left -= part;
        }
    }
    return std::max(0.0, left);
}

void ShareAdmission::compute(Service &service, TimePoint now)
{
    if (service.computedAt_ && now < *service.computedAt_ + ComputeInterval) {
        return;
    }
    service.computedAt_ = now;
    removeExpired(now);
    sweep(service, now);
    const std::map<int, std::vector<Account *>> ranks = sumDemand(service, now);
    service.usedRoom_ = usableRoom(service.room_.value_or(0), now);
    double left = service.usedRoom_;
    service.isShort_ = false;
    for (const auto &[rank, accounts] : ranks) {
        const auto sums = service.ranks_.find(rank);
        const double rest =
            sums == service.ranks_.end() ? 0 : attributeRest(accounts, sums->second);
        std::vector<AskedShare> asked;
        asked.reserve(accounts.size() + 1);
        double known = 0;
        std::size_t asking = 0;
        for (const Account *account : accounts) {
            asked.push_back({account->asked_, 1});
            known += account->asked_;
            asking += account->asked_ > 0 ? 1 : 0;
        }
        // The rest counts as so many accounts as if each asked for the mean of the known ones.
        asked.push_back({rest, known > 0 ? std::max(1.0, rest * asking / known) : 1});
        const std::vector<double> shares = maxMinShares(left, asked);
        service.isShort_ = service.isShort_ || known + rest > left * (1 + Rounding);
        left = std::max(0.0, left - shares.back());
        for (std::size_t index = 0; index < accounts.size(); ++index) {
            Account &account = *accounts[index];
            account.share_ = shares[index];
            left = std::max(0.0, left - account.share_);
        }
    }
    for (auto &[key, account] : service.accounts_) {
        account.isLimited_ = service.isShort_ && account.share_ < account.asked_ * (1 - Rounding);
        if (!account.own_) {
            continue;
        }
        OwnDemand &own = *account.own_;
        if (own.hasBucket_) {
            fill(own, now);
        }
        own.fraction_ = account.asked_ > 0 ? account.share_ / account.asked_ : 0;
        if (!account.isLimited_) {
            own.hasBucket_ = false;
            own.sessions_.clear();
        }
    }
}

/**
 * Fills the bucket by the account's part of the demand in the window. The window is followed in
 * steps: with few requests it is empty for most of the time since the bucket was last filled.
 * The limit leaves room for the reserves that admit() holds.
 */
void ShareAdmission::fill(OwnDemand &own, TimePoint now)
{
    double earned = 0;
    const TimePoint emptyAt = std::min(now, own.filledAt_ + Window + SliceLength);
    for (TimePoint from = own.filledAt_; from < emptyAt;) {
        const Duration step = std::min(SliceLength, emptyAt - from);
        earned += own.fraction_ * own.asked_.perSecond(from + step / 2) * toSeconds(step);
        from += step;
    }
    const double burst = own.fraction_ * own.asked_.perSecond(now) * BurstSeconds;
    const double limit = std::max({burst, 3 * own.largest_.value(), own.bucket_});
    own.bucket_ = std::min(own.bucket_ + earned, limit);
    own.filledAt_ = now;
}

std::optional<ShareRefusal> ShareAdmission::admit(const ShareRequest &request, std::uint64_t random,
                                                  TimePoint now)
{
    Service &service = services_[request.service_];
    const double work = std::max(0.0, request.workMillis_);
    Account &account = ownAccount(service, request, now);
    OwnDemand &own = *account.own_;
    if (own.hasBucket_) {
        fill(own, now);
    }
    own.asked_.add(work, now);
    own.largest_.add(work, now);
    if (service.room_) {
        compute(service, now);
    }
    if (!service.room_ || !account.isLimited_) {
        own.admitted_.add(work, now);
        return std::nullopt;
    }
    if (!own.hasBucket_) {
        startBucket(account, work, random, now);
    }
    const double reserve = reserveFor(account, request.session_, now);
    Session *session = seenSession(own, request.session_, now);
    if (own.bucket_ <= reserve) {
        if (session != nullptr && !session->refusedSince_) {
            session->refusedSince_ = now;
        }
        return refusal(service, account, reserve - own.bucket_, random, now);
    }
    if (session != nullptr) {
        session->refusedSince_.reset();
        session->admitted_ += 1;
    }
    own.bucket_ -= work;
    own.admitted_.add(work, now);
    return std::nullopt;
}

void ShareAdmission::LargestWork::add(double work, TimePoint now)
{
    if (now >= rotateAt_) {
        previous_ = now < rotateAt_ + LargestPeriod ? current_ : 0;
        current_ = 0;
        rotateAt_ = now + LargestPeriod;
    }
    current_ = std::max(current_, work);
}

/**
 * A full burst of the demand before this request. This request itself is admitted with the
 * probability of a request of the account: with many instances most requests are the first ones of
 * their account there, and admitting all of these would exceed the room.
 */
void ShareAdmission::startBucket(Account &account, double work, std::uint64_t random, TimePoint now)
{
    OwnDemand &own = *account.own_;
    own.hasBucket_ = true;
    own.filledAt_ = now;
    own.bucket_ = own.fraction_ * std::max(0.0, account.ownAsked_ - work) * BurstSeconds
                  + work * (own.fraction_ - fraction(random, 1));
}

/**
 * While sessions wait, up to one largest request is held in reserve for the one that was refused
 * first, so that it finds room when it comes back, and another one for those that were admitted
 * less often than the mean. Requests count, not their work, so that sessions with large ones are
 * not admitted less often.
 */
double ShareAdmission::reserveFor(Account &account, std::uint64_t id, TimePoint now)
{
    OwnDemand &own = *account.own_;
    std::erase_if(own.sessions_,
                  [now](const Session &session) { return now >= session.seenAt_ + SessionMemory; });
    const Session *current = nullptr;
    const Session *longest = nullptr;
    double admittedSum = 0;
    for (Session &session : own.sessions_) {
        if (session.id_ == id) {
            current = &session;
        }
        if (session.refusedSince_
            && (!longest || *session.refusedSince_ < *longest->refusedSince_)) {
            longest = &session;
        }
        session.admitted_ *=
            std::exp(-toSeconds(now - session.decayedAt_) / toSeconds(SessionDecay));
        session.decayedAt_ = now;
        admittedSum += session.admitted_;
    }
    if (longest == nullptr || longest == current) {
        return 0;
    }
    // No more than a burst: instances with few requests of the account would fill large reserves
    // for seconds, and the room would be idle for as long.
    const double burst = own.fraction_ * account.ownAsked_ * BurstSeconds;
    const double reserve = std::min(burst, own.largest_.value());
    const double mean = admittedSum / static_cast<double>(own.sessions_.size());
    return current != nullptr && current->admitted_ > mean ? 2 * reserve : reserve;
}

/**
 * The session, which is added if there is room for it: one that waits for no turn is replaced if
 * need be. Null if all others wait.
 */
ShareAdmission::Session *ShareAdmission::seenSession(OwnDemand &own, std::uint64_t id,
                                                     TimePoint now)
{
    std::vector<Session> &sessions = own.sessions_;
    auto found = std::find_if(sessions.begin(), sessions.end(),
                              [id](const Session &session) { return session.id_ == id; });
    if (found == sessions.end()) {
        if (sessions.size() >= MaxSessions) {
            const auto replaced = std::min_element(
                sessions.begin(), sessions.end(), [](const Session &left, const Session &right) {
                    return std::pair(left.refusedSince_.has_value(), left.seenAt_)
                           < std::pair(right.refusedSince_.has_value(), right.seenAt_);
                });
            if (replaced->refusedSince_) {
                return nullptr;
            }
            sessions.erase(replaced);
        }
        found = sessions.emplace(sessions.end());
        found->id_ = id;
        found->decayedAt_ = now;
    }
    found->seenAt_ = now;
    return &*found;
}

ShareRefusal ShareAdmission::refusal(const Service &service, const Account &account, double missing,
                                     std::uint64_t random, TimePoint now) const
{
    const double rate = account.own_->fraction_ * account.ownAsked_;
    const double needed = rate > 0 ? missing / rate * 1e3 : MaxRetryMillis;
    const double retry = std::clamp(needed, MinRetryMillis, MaxRetryMillis);
    ShareRefusal refusal;
    refusal.retryAfterMillis_ =
        static_cast<std::int64_t>(std::ceil(retry * (1 + fraction(random, 0) / 2)));
    refusal.asked_ = account.asked_;
    refusal.share_ = account.share_;
    refusal.room_ = service.usedRoom_;
    if (!heard_.empty()) {
        refusal.oldestReportMillis_ = toMillis(now - peers_.at(heard_.front()).receivedAt_);
    }
    return refusal;
}

ShareReport ShareAdmission::report(TimePoint now) const
{
    ShareReport report;
    for (const auto &[id, service] : services_) {
        std::vector<AccountDemand> demand;
        for (const auto &[key, account] : service.accounts_) {
            if (account.own_) {
                demand.push_back({key.second, key.first, account.own_->asked_.perSecond(now),
                                  account.own_->admitted_.perSecond(now)});
            }
        }
        demand = summarized(demand);
        if (!demand.empty()) {
            report.demand_.emplace(id, std::move(demand));
        }
    }
    return report;
}

bool ShareAdmission::isShort(const ServiceId &service, TimePoint now) const
{
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.room_) {
        return false;
    }
    double asked = 0;
    for (const auto &[key, account] : found->second.accounts_) {
        asked += account.own_ ? account.own_->asked_.perSecond(now) : 0;
    }
    for (const auto &[id, peer] : peers_) {
        const auto demand = peer.demand_.find(service);
        if (demand != peer.demand_.end() && isFresh(peer, now)) {
            asked += demand->second.asked_;
        }
    }
    return asked > usableRoom(*found->second.room_, now) * (1 + Rounding);
}

} // namespace almondridge::gateway
