/**
 * A running entry instance. Creates, connects and owns all of its components.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/fleet/settings.h"

#include <cstdint>
#include <memory>

namespace almondridge::app {

class Instance
{
public:
    /** Builds all components and starts listening. Unavailable: an address is in use. */
    static Result<std::unique_ptr<Instance>> start(const fleet::Settings &settings);

    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /** TCP port that serves callers. */
    std::uint16_t port() const noexcept;

    /**
     * Shuts down gracefully. Reports not ready and releases the lease, keeps accepting requests
     * for the settings' grace period because load balancers notice the change late, then stops
     * accepting and returns once every active request has finished.
     */
    void shutDown();

private:
    struct Parts;
    explicit Instance(std::unique_ptr<Parts> parts) noexcept;

    std::unique_ptr<Parts> parts_;
};

} // namespace almondridge::app
