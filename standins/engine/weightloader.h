/**
 * Fetches the weights of a change from the weight store.
 */
#pragma once

#include "almondridge/net/http.h"
#include "engine/enginecore.h"

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>

namespace almondridge::standins {

/** Thread-safe. One thread for each change that is under way. */
class WeightLoader
{
public:
    /** Without a store, weights are there at once. */
    explicit WeightLoader(std::optional<net::Address> store);
    /** Ends the fetches under way. */
    ~WeightLoader();
    WeightLoader(const WeightLoader &) = delete;
    WeightLoader &operator=(const WeightLoader &) = delete;

    /** Fetches one after the other, each until it succeeds, and then calls loaded. */
    void load(std::vector<WeightFetch> fetches, std::function<void()> loaded);

private:
    struct Running;

    std::optional<net::Address> store_;
    std::mutex lock_;
    std::list<std::unique_ptr<Running>> running_;
};

} // namespace almondridge::standins
