#include "requestadmission.h"

namespace Verbena::Relay {

RequestAdmission admitRequest(const RelayProtocol &protocol, const Decisions::RelayDirectory *directory, const Http::MessageHead &head, Core::TimePoint arrival)
{
    RequestAdmission admission;
    auto query = protocol.readQuery(head, arrival);
    if (!query) {
        admission.refusal = Refusal{400, query.error().message, std::nullopt};
        return admission;
    }
    admission.query = std::move(query.value());
    if (directory == nullptr) {
        admission.refusal = Refusal{503, "This router has no configuration, or is about to end.", std::nullopt};
        return admission;
    }
    admission.route = directory->route(admission.query.host, admission.query.path);
    if (admission.route == nullptr) {
        admission.refusal = Refusal{404, "No route serves this path.", std::nullopt};
        return admission;
    }
    admission.organisation = directory->organisation(admission.query.key);
    if (admission.organisation == nullptr && !admission.route->isPublic && directory->hasOrganisations()) {
        admission.refusal = Refusal{401, "The key is not known.", std::nullopt};
    }
    return admission;
}

} // namespace Verbena::Relay
