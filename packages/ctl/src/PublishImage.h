#pragma once

#include "siskinspread/PublishPlan.h"
#include "siskinspread/ServiceFile.h"

#include "service.pb.h"

#include <span>

namespace siskinspread {

/** @return the configuration as the publish decision sees it. Thread safety: reentrant. */
ConfigurationImage imageOf(const schema::Configuration&);

/** @return the service files as the publish decision sees them. Thread safety: reentrant. */
std::vector<ServiceFileContent> contentOf(std::span<const ServiceDocument>);

/** @return the configuration that an image stands for. Precondition: the items came from the functions above. Reentrant. */
schema::Configuration configurationOf(const ConfigurationImage&);

/** @return "service NAME" or "customer NAME". Thread safety: reentrant. */
std::string describeItem(const ItemKey&);

} // namespace siskinspread
