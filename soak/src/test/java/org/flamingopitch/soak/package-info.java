/** Tests of the soak, and a short seeded soak. */
package org.flamingopitch.soak;
