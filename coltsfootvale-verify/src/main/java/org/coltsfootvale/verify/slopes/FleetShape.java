package org.coltsfootvale.verify.slopes;

import java.util.List;
import org.coltsfootvale.core.model.DataCentreId;

/**
 * Size of a virtual fleet.
 *
 * @param routers the number of routers
 * @param engines the number of engines
 * @param dataCentres the number of data centres
 * @param regions the number of regions
 */
public record FleetShape(int routers, int engines, int dataCentres, int regions) {

  /** Sizes to measure, from today's deployment to the design target. */
  public static final List<FleetShape> SIZES =
      List.of(
          new FleetShape(6, 8, 3, 1),
          new FleetShape(20, 56, 4, 2),
          new FleetShape(80, 225, 8, 2),
          new FleetShape(160, 450, 8, 2),
          new FleetShape(320, 900, 8, 2));

  /** Returns the data centre of the router or the engine with an index. */
  public DataCentreId dataCentre(int index) {
    int number = index % dataCentres;
    return new DataCentreId("region" + number % regions + "-dc" + number);
  }

  /** Returns the region of a data centre. */
  public static String region(DataCentreId dataCentre) {
    return dataCentre.value().substring(0, dataCentre.value().indexOf('-'));
  }
}
