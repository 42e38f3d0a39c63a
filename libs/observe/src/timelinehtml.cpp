#include "almondridge/observe/timeline.h"

#include "timelinepage.h"

namespace almondridge::observe {
namespace {

/**
 * Escapes JSON for use inside a script element. Otherwise a subject of "</script><script>..." would
 * end the element and run in the operator's browser. With these characters escaped, no tag or
 * comment can begin within the data.
 */
std::string scriptSafe(const std::string &json)
{
    std::string safe;
    safe.reserve(json.size());
    for (const char letter : json) {
        switch (letter) {
        case '<':
            safe += "\\u003c";
            break;
        case '>':
            safe += "\\u003e";
            break;
        case '&':
            safe += "\\u0026";
            break;
        default:
            safe += letter;
        }
    }
    return safe;
}

} // namespace

std::string timelineHtml(const std::vector<Event> &events)
{
    std::string page(TimelinePageHead);
    page += scriptSafe(eventsToJson(events));
    page += TimelinePageTail;
    return page;
}

} // namespace almondridge::observe
