#include "admission/share.h"

#include <algorithm>

namespace banyancroft::admission {

unsigned limitForShare(Share share, unsigned limit, unsigned slots, bool cold)
{
    switch (share) {
    case Share::None:
        return 0;
    case Share::UncertainHalf:
        return cold ? 0 : limit / 2;
    case Share::TakeoverRest:
        // The other home may still consider the upstream warm and use floor(slots / 2).
        return cold ? std::min(limit, slots - slots / 2) : limit - limit / 2;
    case Share::Full:
        return limit;
    }
    return 0;
}

} // namespace banyancroft::admission
