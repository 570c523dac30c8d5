/** The data model of a cell: jobs, tasks, queues, runs and the registrations of workers. */
package org.flamingopitch.scheduler.cell.model;
