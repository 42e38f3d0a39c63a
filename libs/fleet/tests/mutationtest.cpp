/** Fuzzing with fixed rounds and seed: mutated files are parsed or refused, and never crash. */
#include "examples.h"

#include "almondridge/fleet/settings.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::fleet;

namespace {

using Json = nlohmann::json;
constexpr int Rounds = 2'000;
constexpr unsigned Seed = 20'240;

class Mutator
{
public:
    /** Changes, removes or duplicates some bytes. */
    std::string bytes(std::string text)
    {
        for (std::size_t edit = 0; edit <= below(3); ++edit) {
            const std::size_t at = below(text.size());
            const std::size_t length = std::min(text.size() - at, below(20) + 1);
            const std::string piece = text.substr(at, length);
            switch (below(3)) {
            case 0:
                text[at] = static_cast<char>(below(256));
                break;
            case 1:
                text.erase(at, length);
                break;
            default:
                text.insert(below(text.size()), piece);
            }
        }
        return text;
    }

    /** Replaces a value of the tree by an unusual one. */
    std::string structure(const Json &json)
    {
        static const std::vector<Json> odd {nullptr,
                                            true,
                                            -1,
                                            18446744073709551615ULL,
                                            1e308,
                                            "",
                                            "x",
                                            "\u0000",
                                            Json::array(),
                                            Json::object(),
                                            Json::array({Json::array()}),
                                            std::string(5'000, 'a')};
        const Json flat = json.flatten();
        const auto leaf = std::next(flat.begin(), static_cast<std::ptrdiff_t>(below(flat.size())));
        Json::json_pointer place(leaf.key());
        for (std::size_t up = below(3); up > 0 && !place.empty(); --up) {
            place.pop_back();
        }
        Json changed = json;
        changed[place] = odd[below(odd.size())];
        return changed.dump();
    }

private:
    std::size_t below(std::size_t limit) { return random_() % limit; }

    std::mt19937 random_ {Seed};
};

/** Checks that each mutant is parsed, or refused as InvalidInput with a remedy; counts the latter.
 */
template <typename Parse>
int refusedMutants(const std::string &example, Parse parse)
{
    const std::string text = readExample(example);
    const Json json = Json::parse(text);
    Mutator mutator;
    int refused = 0;
    for (int round = 0; round < Rounds; ++round) {
        const std::string mutant = round % 2 == 0 ? mutator.bytes(text) : mutator.structure(json);
        const auto captured = capture([&] { return parse(mutant); });
        if (const Error *error = std::get_if<Error>(&captured)) {
            ++refused;
            BOOST_TEST_REQUIRE((error->kind_ == ErrorKind::InvalidInput && error->remedy_ != ""));
        }
    }
    return refused;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Mutation)

BOOST_AUTO_TEST_CASE(mutatedFleetFileIsParsedOrRefused)
{
    for (const char *example : {"kaarna.json", "lagon.json"}) {
        const int refused = refusedMutants(example, [](const std::string &text) -> Result<Fleet> {
            BOOST_LEAF_AUTO(fleet, parseFleet(text));
            BOOST_TEST_REQUIRE((parseFleet(writeFleet(fleet)).value() == fleet));
            return fleet;
        });
        BOOST_TEST(refused > Rounds / 2);
    }
}

BOOST_AUTO_TEST_CASE(mutatedSettingsFileIsParsedOrRefused)
{
    const int refused = refusedMutants("settings.json",
                                       [](const std::string &text) { return parseSettings(text); });
    BOOST_TEST(refused > Rounds / 2);
}

// Guards against stack overflow: parsing 100,000 opening brackets recursively exhausts the stack.
BOOST_AUTO_TEST_CASE(deepNestingAndLongFilesAreRefused)
{
    for (const std::string &text :
         {std::string(100'000, '['), std::string(100'000, '[') + std::string(100'000, ']'),
          "{\"a\":" + std::string(20, '[') + std::string(20, ']') + "}",
          std::string(17U << 20U, ' '), std::string()}) {
        const Error error = errorOf([&] { return parseFleet(text); });
        BOOST_TEST((error.kind_ == ErrorKind::InvalidInput));
    }
}

BOOST_AUTO_TEST_SUITE_END()
