#include "almondridge/fleet/fleetfile.h"

#include "fleetdraft.h"

namespace almondridge::fleet {

Result<Fleet> parseFleet(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    return fleetFromJson(json);
}

std::string writeFleet(const Fleet &fleet)
{
    constexpr int Indent = 2;
    return writeDraft(draftOf(fleet))
               .dump(Indent, ' ', false, OrderedJson::error_handler_t::replace)
           + "\n";
}

} // namespace almondridge::fleet
