#include "almondridge/gateway/access.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

constexpr std::int64_t BoundMillis = 5'000;

TimePoint at(std::int64_t millisSinceStart)
{
    return TimePoint {} + millis(1'000'000 + millisSinceStart);
}

Credentials credentialsFor(const std::string &key)
{
    return readCredentials({{"Authorization", "Token " + key}}, "Token");
}

std::shared_ptr<const Config> configWith(const std::vector<std::string> &keys)
{
    return Config::Builder()
        .accounts(Accounts::Builder().add({AccountId("acme"), 1}, keys).build())
        .build();
}

struct Fixture
{
    Access access(const Credentials &credentials, std::int64_t millisSinceStart) const
    {
        return checkAccess(*config_, route_, credentials, lease_, at(millisSinceStart)).access_;
    }

    std::shared_ptr<const Config> config_ = configWith({"k1", "k2"});
    Route route_;
    KeyLease lease_ {BoundMillis};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AccountKeys, Fixture)

BOOST_AUTO_TEST_CASE(keyIdentifiesItsAccount)
{
    lease_.confirm(at(0));
    const AccessResult result = checkAccess(*config_, route_, credentialsFor("k2"), lease_, at(1));
    BOOST_TEST((result.access_ == Access::Granted));
    BOOST_TEST(result.account_.id_.value() == "acme");
    BOOST_TEST(result.account_.priority_.value() == 1);
}

BOOST_AUTO_TEST_CASE(noKeyIsNeededWithoutAccounts)
{
    config_ = Config::Builder().build();
    BOOST_TEST((access(Credentials {}, 0) == Access::Anonymous));
}

// Guards against treating an empty list of accounts as a deployment without accounts.
BOOST_AUTO_TEST_CASE(noKeyIsAcceptedWithAnEmptyAccountList)
{
    config_ = Config::Builder().accounts(Accounts::Builder().build()).build();
    lease_.confirm(at(0));
    BOOST_TEST((access(credentialsFor("k1"), 1) == Access::KeyUnknown));
    BOOST_TEST((access(Credentials {}, 1) == Access::KeyMissing));
}

// Guards against headers that two parsers could interpret differently.
BOOST_AUTO_TEST_CASE(credentialsAreParsedStrictly)
{
    lease_.confirm(at(0));
    const auto read = [&](const net::Headers &headers) {
        return access(readCredentials(headers, "Token"), 1);
    };
    BOOST_TEST((read({{"authorization", "token  k1 "}}) == Access::Granted));
    BOOST_TEST((read({{"Authorization", "Token k1"}, {"authorization", "Token k1"}})
                == Access::KeyMalformed));
    for (const char *value : {"", "Token", "Token ", "k1", "Bearer k1", "Token k1 k2",
                              "Token k1,k2", "Token\tk1", "Token \"k1\"", "Token k\x01"}) {
        BOOST_TEST((read({{"Authorization", value}}) == Access::KeyMalformed), value);
    }
    const std::string longKey(MaxKeyBytes + 1, 'k');
    BOOST_TEST((read({{"Authorization", "Token " + longKey}}) == Access::KeyMalformed));
    BOOST_TEST((read({{"Authorization", "Token k3"}}) == Access::KeyUnknown));
    BOOST_TEST((read({}) == Access::KeyMissing));
}

// Guards against a revoked key that is still accepted by an instance that is cut off.
BOOST_AUTO_TEST_CASE(noKeyIsAcceptedWithoutConfirmedConfiguration)
{
    BOOST_TEST((access(credentialsFor("k1"), 0) == Access::Unconfirmed));
    lease_.confirm(at(0));
    BOOST_TEST((access(credentialsFor("k1"), 4'400) == Access::Granted));
    BOOST_TEST((access(credentialsFor("k1"), BoundMillis) == Access::Unconfirmed));
    BOOST_TEST((access(credentialsFor("k3"), BoundMillis) == Access::Unconfirmed));
    lease_.confirm(at(-9'000));
    BOOST_TEST((access(credentialsFor("k1"), 4'400) == Access::Granted));
    BOOST_TEST((access(credentialsFor("k1"), BoundMillis) == Access::Unconfirmed));
}

BOOST_AUTO_TEST_CASE(keysNeedNoConfirmationWithoutARevocationBound)
{
    lease_ = KeyLease(0);
    BOOST_TEST((access(credentialsFor("k1"), 0) == Access::Granted));
    BOOST_TEST((access(credentialsFor("k3"), 0) == Access::KeyUnknown));
}

BOOST_AUTO_TEST_CASE(publicRoutesNeedNoKeyAndNoConfirmation)
{
    route_.public_ = true;
    BOOST_TEST((access(Credentials {}, 0) == Access::Anonymous));
    BOOST_TEST((access(credentialsFor("k3"), 0) == Access::Anonymous));
    lease_.confirm(at(0));
    BOOST_TEST((access(credentialsFor("k1"), 1) == Access::Granted));
    BOOST_TEST((access(credentialsFor("k3"), 1) == Access::Anonymous));
}

// Guards against queued, retried or resumed requests that run after their key was revoked.
BOOST_AUTO_TEST_CASE(accessIsCheckedAgainBeforeEachAttempt)
{
    lease_.confirm(at(0));
    const AccessResult granted = checkAccess(*config_, route_, credentialsFor("k1"), lease_, at(1));
    BOOST_TEST(isStillGranted(*config_, granted, lease_, at(100)));
    BOOST_TEST(isStillGranted(*configWith({"k1"}), granted, lease_, at(100)));
    BOOST_TEST(!isStillGranted(*configWith({"k2"}), granted, lease_, at(100)));
    BOOST_TEST(!isStillGranted(*config_, granted, lease_, at(BoundMillis)));
    const auto another =
        Config::Builder()
            .accounts(Accounts::Builder().add({AccountId("other")}, {"k1"}).build())
            .build();
    BOOST_TEST(!isStillGranted(*another, granted, lease_, at(100)));
}

BOOST_AUTO_TEST_SUITE_END()
